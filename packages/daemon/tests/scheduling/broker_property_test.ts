import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Row } from "@umbermast/table";
import { ALL_ENABLED } from "../../src/process/scheduling/switches.ts";
import type { AskMessage } from "../../src/process/scheduling/messages.ts";
import { askOf } from "./ask_fixture.ts";
import { brokerWith, release } from "./broker_fixture.ts";
import type { Bench } from "./broker_fixture.ts";
import { runnerOf, SERVICE } from "./runner_fixture.ts";
import { rowOf, tableOf } from "./table_fixture.ts";

/** One thing that happens to a broker. */
type Step =
  | {
    readonly kind: "ask";
    readonly class: string;
    readonly workspace: string;
    readonly entry: string;
  }
  | {
    readonly kind: "release" | "withdraw" | "lost-grant";
    readonly pick: number;
  }
  | { readonly kind: "limit"; readonly inFlight: number }
  | { readonly kind: "runners"; readonly names: readonly string[] }
  | { readonly kind: "gone"; readonly entry: string }
  | {
    readonly kind: "report";
    readonly running: number;
    readonly runner: string;
  }
  | { readonly kind: "time"; readonly ms: number };

const SLOTS = 2;
const RUNNERS = ["runner-1", "runner-2", "runner-3"];
const ENTRIES = ["entry-1", "entry-2"];
const CLASSES = ["quote", "query", "cut-sheet"];

const anEntry = fc.constantFrom(...ENTRIES);
const aPick = fc.nat({ max: 1_000 });

const aStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant("ask" as const),
      class: fc.constantFrom(...CLASSES),
      workspace: fc.constantFrom("member-1", "member-2"),
      entry: anEntry,
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        "release" as const,
        "withdraw" as const,
        "lost-grant" as const,
      ),
      pick: aPick,
    }),
  },
  fc.record({
    kind: fc.constant("limit" as const),
    inFlight: fc.integer({ min: 1, max: 4 }),
  }),
  fc.record({
    kind: fc.constant("runners" as const),
    names: fc.subarray(RUNNERS, { minLength: 1 }),
  }),
  fc.record({ kind: fc.constant("gone" as const), entry: anEntry }),
  fc.record({
    kind: fc.constant("report" as const),
    running: fc.nat({ max: 1_000_000 }),
    runner: fc.constantFrom(...RUNNERS),
  }),
  fc.record({ kind: fc.constant("time" as const), ms: fc.nat({ max: 900 }) }),
);

/** What a test knows of the asks, from the messages alone. */
class Model {
  readonly asks = new Map<
    string,
    { readonly entry: string; ask: AskMessage }
  >();
  readonly waiting = new Set<string>();
  /** Runner by ask. */
  readonly held = new Map<string, string>();
  readonly bench: Bench;
  limit = 3;
  #read = 0;

  constructor(bench: Bench) {
    this.bench = bench;
  }

  /** Takes in what the broker has sent, checking each message. */
  read(): void {
    for (; this.#read < this.bench.sent.length; this.#read++) {
      const { entry, message } = this.bench.sent[this.#read]!;
      if (message.type === "beat_reply") continue;
      const known = this.asks.get(message.askId);
      assert.equal(known?.entry, entry, "an answer goes to the one that asked");
      if (message.type === "grant") {
        this.#granted(message.askId, message.runner);
      } else this.#refused(message.askId, message.code);
    }
  }

  #granted(askId: string, runner: string): void {
    const former = this.held.get(askId);
    assert.ok(former === undefined || former === runner, "a grant was doubled");
    assert.ok(
      former !== undefined || this.waiting.has(askId),
      "granted unasked",
    );
    this.waiting.delete(askId);
    this.held.set(askId, runner);
    if (former !== undefined) return;
    const here = [...this.held.values()].filter((it) => it === runner).length;
    assert.ok(here <= SLOTS, "more in flight than the runner has slots");
    assert.ok(
      !this.isLimited(askId) || this.inRow() <= this.limit,
      "more in flight than the row allows",
    );
  }

  #refused(askId: string, code: string): void {
    assert.ok(this.waiting.delete(askId), "refused unasked");
    if (code !== "queue_full") return;
    const tier = this.tierOf(askId);
    for (const other of this.waiting) {
      assert.ok(
        this.tierOf(other) <= tier,
        "a higher tier was shed for a lower",
      );
    }
  }

  tierOf(askId: string): number {
    return CLASSES.indexOf(this.asks.get(askId)?.ask.class ?? "");
  }

  /** Requests in flight of the limited row. */
  inRow(): number {
    return [...this.held.keys()].filter((it) => this.isLimited(it)).length;
  }

  isLimited(askId: string): boolean {
    const ask = this.asks.get(askId)?.ask;
    return ask?.workspace === "member-1" && ask.class === "quote";
  }
}

function limited(inFlight: number): Row {
  return rowOf({ workspace: "member-1", class: "quote", inFlight });
}

function pickFrom(ids: Iterable<string>, pick: number): string | undefined {
  const all = [...ids];
  return all[pick % Math.max(1, all.length)];
}

function perform(model: Model, step: Step): void {
  const { bench } = model;
  switch (step.kind) {
    case "ask": {
      const ask = askOf({ class: step.class, workspace: step.workspace });
      model.asks.set(ask.askId, { entry: step.entry, ask });
      model.waiting.add(ask.askId);
      return bench.broker.ask(step.entry, ask);
    }
    case "release": {
      const askId = pickFrom(model.held.keys(), step.pick);
      if (askId === undefined) return;
      const entry = model.asks.get(askId)!.entry;
      model.held.delete(askId);
      return release(bench, askId, { entry });
    }
    case "withdraw": {
      const askId = pickFrom(
        [...model.waiting, ...model.held.keys()],
        step.pick,
      );
      if (askId === undefined) return;
      const entry = model.asks.get(askId)!.entry;
      model.held.delete(askId);
      model.waiting.delete(askId);
      return bench.broker.withdraw(entry, askId);
    }
    case "lost-grant": {
      const askId = pickFrom(model.held.keys(), step.pick);
      if (askId === undefined) return;
      const known = model.asks.get(askId)!;
      known.ask = { ...known.ask, epoch: known.ask.epoch + 1 };
      return bench.broker.ask(known.entry, known.ask);
    }
    case "limit":
      model.limit = Math.max(step.inFlight, model.inRow());
      bench.table.edit(tableOf({ rows: [limited(step.inFlight)] }));
      model.read();
      model.limit = step.inFlight;
      return;
    case "runners": {
      bench.directory.replace(step.names.map((name) => runnerOf(name)));
      // What ran at a runner that is gone has no slot any more.
      for (const [askId, runner] of model.held) {
        if (!step.names.includes(runner)) model.held.delete(askId);
      }
      return;
    }
    case "gone":
      bench.broker.entryGone(step.entry);
      for (const askId of [...model.waiting]) {
        if (model.asks.get(askId)?.entry === step.entry) {
          model.waiting.delete(askId);
        }
      }
      return;
    case "report":
      return bench.reports.record(step.runner, {
        running: step.running,
        waiting: 0,
        slots: 0,
        stepMs: 0,
        leaving: false,
        receivedAt: bench.clock.monotonic(),
      });
    case "time":
      bench.clock.advance(step.ms);
      // Entries with something here beat several times a second.
      for (const entry of ENTRIES) {
        bench.broker.heartbeat(entry, {
          type: "beat",
          service: SERVICE,
          waiting: 0,
          held: 0,
        });
      }
      return bench.broker.tick();
  }
}

/** Ends all that runs, over and over; whatever still waits must get its turn. */
function drainOut(model: Model): void {
  const rounds = model.waiting.size + 1;
  for (let round = 0; round < rounds; round++) {
    for (let i = 0; i < 4; i++) perform(model, { kind: "time", ms: 900 });
    model.read();
    for (const askId of [...model.held.keys()]) {
      model.held.delete(askId);
      release(model.bench, askId, { entry: model.asks.get(askId)!.entry });
      model.read();
    }
  }
}

test("keeps slots, limits and tiers through any sequence of events", () => {
  fc.assert(
    fc.property(fc.array(aStep, { minLength: 20, maxLength: 150 }), (steps) => {
      const bench = brokerWith({
        runners: RUNNERS.map((name) => runnerOf(name)),
        table: tableOf({ rows: [limited(3)] }),
        parts: {
          switches: { ...ALL_ENABLED, adaptiveSlots: false },
          bounds: { count: 6, bytes: 1e6, perWorkspace: 4 },
        },
      });
      const model = new Model(bench);
      for (const step of steps) {
        perform(model, step);
        model.read();
      }
      assert.equal(bench.broker.waitingCount, model.waiting.size);
      assert.equal(bench.broker.inFlight, model.held.size);
      drainOut(model);
      assert.equal(model.waiting.size, 0, "an ask was never served");
    }),
    { numRuns: 300, seed: 1 },
  );
});
