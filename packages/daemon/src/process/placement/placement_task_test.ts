import type { Tenure } from "@umbermast/coordination";
import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import type { Log } from "../log.ts";
import type { DemandReader } from "./placement_demand.ts";
import { JumpingClock, runnerOf } from "./placement_fixtures.ts";
import type { EngineReport } from "./order_history.ts";
import { MAX_SEND_MS } from "./placement_order.ts";
import type {
  EngineOrders,
  OrderLease,
  OrderOutcome,
} from "./placement_order.ts";
import type { EngineReports } from "./placement_reports.ts";
import { PlacementTask } from "./placement_task.ts";

/** Several rounds of 10 s. */
const REPORT_LAG_MS = 45_000;
const LEASE_MS = 900_000;

/** Delay of the reports; shorter than the task allows for. */
const REPORT_DELAY_MS = REPORT_LAG_MS - 1_000;

/** An engine that applies orders at once and reports them late. */
class FakeEngine {
  fencing = 0;
  readonly checksFencing: boolean;
  readonly #changes: { readonly at: number; readonly models: Set<string> }[];

  constructor(models: readonly string[], checksFencing = false) {
    this.#changes = [{ at: -Infinity, models: new Set(models) }];
    this.checksFencing = checksFencing;
  }

  get models(): ReadonlySet<string> {
    return this.modelsAt(Infinity);
  }

  modelsAt(at: number): ReadonlySet<string> {
    return this.#changes.findLast((change) => change.at <= at)?.models ??
      new Set();
  }

  applyOrder(order: string, model: string, at: number): void {
    const models = new Set(this.models);
    if (order === "load") models.add(model);
    else models.delete(model);
    this.#changes.push({ at, models });
  }
}

interface AcceptedOrder {
  readonly runner: string;
  readonly order: string;
  readonly model: string;
  readonly fencing: number;
  readonly at: number;
}

/** Engines, the orders that they accepted and the log events of one daemon. */
class Pool {
  readonly clock = new JumpingClock();
  readonly acceptedOrders: AcceptedOrder[] = [];
  readonly events: string[] = [];
  readonly engines: ReadonlyMap<string, FakeEngine>;
  requests: ReadonlyMap<string, number> = new Map();
  #reads = 0;
  /** Called before each order is sent. */
  beforeSend: () => void = () => {};

  constructor(engines: Readonly<Record<string, FakeEngine>>) {
    this.engines = new Map(Object.entries(engines));
  }

  readonly orders: EngineOrders = {
    send: (runner, order, { tenure }) =>
      Effect.sync((): OrderOutcome => {
        this.beforeSend();
        if (tenure.remainingMs() < MAX_SEND_MS) {
          return { _tag: "NotSent", reason: "over" };
        }
        const engine = this.engines.get(runner.name);
        if (engine === undefined) return { _tag: "Refused", status: 404 };
        if (engine.checksFencing && tenure.fencing < engine.fencing) {
          return { _tag: "Stale", fencing: engine.fencing };
        }
        engine.fencing = Math.max(engine.fencing, tenure.fencing);
        const { fencing } = tenure;
        const at = this.clock.monotonic();
        engine.applyOrder(order.order, order.model, at);
        this.acceptedOrders.push({
          runner: runner.name,
          ...order,
          fencing,
          at,
        });
        return { _tag: "Taken" };
      }),
  };

  readonly reports: EngineReports = {
    read: ({ name }) =>
      Effect.sync((): EngineReport | undefined => {
        const engine = this.engines.get(name);
        if (engine === undefined) return undefined;
        const reported = engine.modelsAt(
          this.clock.monotonic() - REPORT_DELAY_MS,
        );
        // The load varies between reports, so that the choices vary too.
        this.#reads += 1;
        const requests = (this.#reads * 7) % 5;
        return { models: [...reported], requests, leaving: false };
      }),
  };

  readonly demand: DemandReader = {
    read: () =>
      Effect.sync(() => ({ requests: this.requests, hasQuorum: true })),
  };

  readonly log: Log = {
    event: (name, fields) =>
      this.events.push(`${name} ${fields["chosen"] ?? ""}`),
    decision: () => {},
    warning: () => {},
  };

  task(lease: OrderLease, models: readonly string[]): PlacementTask {
    return new PlacementTask({
      service: "pool",
      lease,
      orders: this.orders,
      reports: this.reports,
      demand: this.demand,
      clock: this.clock,
      log: this.log,
      definition: () => ({
        name: "pool",
        kind: "model",
        models,
        checksFencing: false,
        slotsPerRunner: 10,
      }),
      runners: () => [...this.engines.keys()].map((name) => runnerOf({ name })),
      reportLagMs: REPORT_LAG_MS,
    });
  }

  /** A lease that is granted once, from now on for a fixed time. */
  lease(fencing: number, onEnd: () => void): OrderLease {
    let granted = false;
    return {
      hold: (during) =>
        Effect.suspend(() => {
          if (granted) {
            return Effect.sync(onEnd).pipe(Effect.andThen(Effect.never));
          }
          granted = true;
          const end = this.clock.monotonic() + LEASE_MS;
          const tenure: Tenure = {
            fencing,
            remainingMs: () => end - this.clock.monotonic(),
          };
          return during(tenure);
        }),
    };
  }

  /** Runs one holder until its tenure has ended. */
  async runHolder(fencing: number, models: readonly string[]): Promise<void> {
    let ended = () => {};
    const over = new Promise<void>((resolve) => ended = resolve);
    const task = this.task(this.lease(fencing, ended), models);
    await this.clock.run(
      Effect.race(task.run(), Effect.promise(() => over)),
    );
  }
}

test("a model without copies is loaded once", async () => {
  const pool = new Pool({
    r1: new FakeEngine(["a"]),
    r2: new FakeEngine(["a", "x"]),
  });
  await pool.runHolder(1, ["a", "b"]);
  const orders = pool.acceptedOrders.filter(({ model }) => model === "b");
  assert.deepEqual(orders.map(({ runner, order }) => `${order} ${runner}`), [
    "load r1",
  ]);
  assert.ok(pool.events.includes("placement_decision r1"));
});

test("a new holder waits for the previous holder's longest send and the report lag", async () => {
  const pool = new Pool({ r1: new FakeEngine(["a"]) });
  await pool.runHolder(1, ["a", "b"]);
  assert.equal(pool.acceptedOrders[0]?.at, MAX_SEND_MS + REPORT_LAG_MS);
});

// After an unload, delayed reports still list the model. Counting that copy would
// let following rounds unload further copies, including the last actual one.
test("delayed reports do not cause the last copy to be unloaded", async () => {
  const pool = new Pool({
    r1: new FakeEngine(["a", "b"]),
    r2: new FakeEngine(["a", "b"]),
    r3: new FakeEngine(["a", "b"]),
  });
  for (let fencing = 1; fencing <= 4; fencing += 1) {
    await pool.runHolder(fencing, ["a", "b"]);
  }
  const held = [...pool.engines.values()].map(({ models }) => models);
  assert.ok(pool.acceptedOrders.length > 0);
  assert.ok(held.some((models) => models.has("a")));
  assert.ok(held.some((models) => models.has("b")));
  assert.ok(held.every((models) => models.size > 0));
});

// The holder is paused between its decision and the send, for longer than its
// lease. Meanwhile a new holder has sent orders. The engine ignores fencing
// tokens, so only the check of the tenure before the send prevents the older order
// from overriding the newer ones.
test("a holder that was paused past the end of its lease sends nothing", async () => {
  const pool = new Pool({ r1: new FakeEngine(["a"]) });
  pool.beforeSend = () => pool.clock.advance(LEASE_MS);
  await pool.runHolder(1, ["a", "b"]);
  assert.deepEqual(pool.acceptedOrders, []);
  assert.ok(pool.events.includes("placement_lease_ended "));
});

test("a holder sends no further order after an engine reports a newer holder", async () => {
  const engine = new FakeEngine(["a"], true);
  engine.fencing = 5;
  const pool = new Pool({ r1: engine });
  await pool.runHolder(4, ["a", "b", "c"]);
  assert.deepEqual(pool.acceptedOrders, []);
  const decisions = pool.events.filter((event) =>
    event.startsWith("placement_decision")
  );
  assert.equal(decisions.length, 1);
});
