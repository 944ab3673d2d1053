/**
 * What tests of the scheduler are built of.
 *
 * @module
 */
import { SYSTEM_CLOCK } from "@umbermast/coordination";
import type {
  Clock,
  Member,
  Membership,
  MemberState,
  MessageHandler,
  Peers,
  View,
} from "@umbermast/coordination";
import { FakeClock } from "@umbermast/coordination/testing";
import type { Class, Row, Table } from "@umbermast/table";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { Fields, Log } from "../../src/process/log.ts";
import type { Runner } from "../../src/process/runner.ts";
import { RunnerDirectory } from "../../src/process/runner_directory.ts";
import { Broker } from "../../src/process/scheduling/broker.ts";
import type { BrokerParts } from "../../src/process/scheduling/broker_parts.ts";
import { BrokerHost } from "../../src/process/scheduling/broker_host.ts";
import { LoadReports } from "../../src/process/scheduling/load_reports.ts";
import type {
  AskMessage,
  EntryMessage,
} from "../../src/process/scheduling/messages.ts";
import { ALL_ON } from "../../src/process/scheduling/switches.ts";
import type { TableSource } from "../../src/process/table_source.ts";
import type { Ask, Settlement } from "../../src/request/ask.ts";
import { BrokeredScheduler } from "../../src/request/brokered_scheduler.ts";

export const SERVICE = "drafting-llm";

/** A clock that tests move; it starts late enough to look back from. */
export function clockOf(): FakeClock {
  return new FakeClock({ at: 1_000_000 });
}

/** One line of the log. */
export interface Line {
  readonly name: string;
  readonly fields: Fields;
}

/** A log that keeps its lines. */
export class TestLog implements Log {
  readonly lines: Line[] = [];

  event(name: string, fields: Fields): void {
    this.lines.push({ name, fields });
  }

  decision(name: string, fields: Fields): void {
    this.lines.push({ name, fields });
  }

  warning(name: string, fields: Fields): void {
    this.lines.push({ name, fields });
  }
}

/** A table that tests edit. */
export class TestTable implements TableSource {
  #table: Table;
  readonly #listeners = new Set<() => void>();

  constructor(table: Table) {
    this.#table = table;
  }

  current(): Table {
    return this.#table;
  }

  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  edit(table: Table): void {
    this.#table = table;
    for (const listener of this.#listeners) listener();
  }
}

export function classOf(
  name: string,
  tier: number,
  fields: Partial<Class> = {},
): Class {
  return {
    name,
    tier,
    target: {},
    timeoutMs: 60_000,
    minimumShare: 0,
    ...fields,
  };
}

export function rowOf(fields: Partial<Row> = {}): Row {
  return { workspace: "member-1", class: "quote", weight: 1, ...fields };
}

/** Three tiers: quote, query, cut-sheet. */
export function tableOf(fields: Partial<Table> = {}): Table {
  return {
    classes: [
      classOf("quote", 0, { minimumShare: 0.2 }),
      classOf("query", 1, { minimumShare: 0.1 }),
      classOf("cut-sheet", 2, { minimumShare: 0.1 }),
    ],
    workspaces: [],
    rows: [],
    services: [{
      name: SERVICE,
      kind: "model",
      models: [],
      checksFencing: true,
      slotsPerRunner: 2,
    }],
    ...fields,
  };
}

export function runnerOf(name: string, fields: Partial<Runner> = {}): Runner {
  return {
    name,
    service: SERVICE,
    address: "127.0.0.1",
    port: 1,
    region: "kingston",
    failureDomain: "portmore",
    state: "live",
    incarnation: 1,
    ...fields,
  };
}

let asks = 0;

export function askOf(fields: Partial<AskMessage> = {}): AskMessage {
  asks += 1;
  return {
    type: "ask",
    askId: `ask-${asks}`,
    epoch: 1,
    requestId: `request-${asks}`,
    service: SERVICE,
    workspace: "member-1",
    class: "quote",
    promptTokens: 100,
    remainingMs: 60_000,
    waitedMs: 0,
    excluded: [],
    alone: false,
    ...fields,
  };
}

/** An ask as an attempt makes it. */
export function requestOf(clock: Clock, fields: Partial<Ask> = {}): Ask {
  asks += 1;
  return {
    askId: `ask-${asks}`,
    requestId: `request-${asks}`,
    service: SERVICE,
    workspace: "member-1",
    class: "quote",
    promptTokens: 100,
    deadline: clock.now() + 60_000,
    excluded: [],
    ...fields,
  };
}

/** A message that a broker sent. */
export interface Sent {
  readonly entry: string;
  readonly message: EntryMessage;
}

/** A broker with what stands around it. */
export interface Bench {
  readonly broker: Broker;
  readonly clock: FakeClock;
  readonly log: TestLog;
  readonly table: TestTable;
  readonly directory: RunnerDirectory;
  readonly reports: LoadReports;
  readonly sent: Sent[];
}

/** A broker of one service with the given runners. */
export function brokerWith(
  options: {
    readonly runners?: readonly Runner[];
    readonly table?: Table;
    readonly parts?: Partial<BrokerParts>;
  } = {},
): Bench {
  const clock = clockOf();
  const log = new TestLog();
  const table = new TestTable(options.table ?? tableOf());
  const directory = new RunnerDirectory();
  directory.replace(options.runners ?? [runnerOf("runner-1")]);
  const reports = new LoadReports({ clock });
  const sent: Sent[] = [];
  const broker = new Broker(SERVICE, {
    directory,
    reports,
    table,
    clock,
    log,
    switches: ALL_ON,
    send: (entry, message) => sent.push({ entry, message }),
    members: () => 3,
    ...options.parts,
  });
  directory.subscribe(() => broker.runnersChanged());
  table.subscribe(() => broker.tableChanged(table.current()));
  reports.subscribe((runner) => broker.reported(runner));
  return { broker, clock, log, table, directory, reports, sent };
}

/** Ids of the asks granted so far, in order. */
export function granted(bench: Bench): readonly string[] {
  return bench.sent.filter((it) => it.message.type === "grant")
    .map((it) => it.message.type === "grant" ? it.message.askId : "");
}

export function release(
  bench: Bench,
  askId: string,
  fields: { readonly entry?: string; readonly outputTokens?: number } = {},
): void {
  bench.broker.release(fields.entry ?? "entry-1", {
    type: "release",
    service: SERVICE,
    askId,
    settlement: {
      outcome: "complete",
      promptTokens: 100,
      outputTokens: fields.outputTokens ?? 100,
    },
  });
}

export function memberOf(name: string): Member {
  return {
    name,
    address: "127.0.0.1",
    port: 1,
    region: "kingston",
    failureDomain: "portmore",
    incarnation: 1,
  };
}

/** Membership that tests set. */
export class TestMembership implements Membership {
  readonly self: Member;
  #view: View;
  readonly #listeners = new Set<(view: View) => void>();

  constructor(self: string, names: readonly string[]) {
    this.self = memberOf(self);
    this.#view = viewOf(1, names);
  }

  view(): View {
    return this.#view;
  }

  subscribe(listener: (view: View) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  set(names: readonly string[], state: MemberState = "alive"): void {
    this.#view = viewOf(this.#view.version + 1, names, state);
    for (const listener of this.#listeners) listener(this.#view);
  }
}

function viewOf(
  version: number,
  names: readonly string[],
  state: MemberState = "alive",
): View {
  return {
    version,
    members: names.map((name) => ({ member: memberOf(name), state })),
  };
}

/** Links between in-process daemons, which tests cut. */
export class TestNetwork {
  readonly #handlers = new Map<string, Map<string, MessageHandler>>();
  readonly #cut = new Set<string>();
  /** Messages delivered. */
  delivered = 0;

  /** Loses all that goes from one to the other, without a sign. */
  cut(from: string, to: string): void {
    this.#cut.add(`${from} ${to}`);
  }

  /** Loses all that goes to or from a daemon. */
  isolate(name: string): void {
    this.#cut.add(name);
  }

  mend(): void {
    this.#cut.clear();
  }

  peersOf(self: string): Peers {
    const handlers = new Map<string, MessageHandler>();
    this.#handlers.set(self, handlers);
    return {
      send: (to, channel, message) =>
        this.#send(self, { to, channel, message }),
      request: () =>
        Effect.fail({ _tag: "PeerUnreachable", peer: "", reason: "no-link" }),
      handle: (channel, handler) => {
        handlers.set(channel, handler);
      },
      subscribe: () => () => {},
    };
  }

  #send(
    from: string,
    sent: {
      readonly to: string;
      readonly channel: string;
      readonly message: unknown;
    },
  ): boolean {
    const { to, channel, message } = sent;
    const cut = [from, to, `${from} ${to}`].some((it) => this.#cut.has(it));
    if (cut) return true;
    const copy: unknown = structuredClone(message);
    setImmediate(() => {
      const handler = this.#handlers.get(to)?.get(channel);
      if (handler === undefined) return;
      this.delivered += 1;
      Effect.runSync(handler(from, copy));
    });
    return true;
  }
}

/** A daemon's part in scheduling, in this process. */
export interface TestDaemon {
  readonly name: string;
  readonly host: BrokerHost;
  readonly scheduler: BrokeredScheduler;
  readonly membership: TestMembership;
  readonly directory: RunnerDirectory;
  readonly log: TestLog;
}

/** Daemons that reach each other over a network, all with the same view. */
export function daemonsOf(
  network: TestNetwork,
  options: {
    readonly names: readonly string[];
    readonly runners: readonly Runner[];
  },
): Effect.Effect<readonly TestDaemon[], never, Scope.Scope> {
  const table = new TestTable(tableOf());
  return Effect.forEach(options.names, (name) =>
    Effect.gen(function* () {
      const directory = new RunnerDirectory();
      directory.replace(options.runners);
      const membership = new TestMembership(name, options.names);
      const log = new TestLog();
      const parts = {
        directory,
        membership,
        log,
        table,
        clock: SYSTEM_CLOCK,
        peers: network.peersOf(name),
      };
      const reports = new LoadReports({ clock: SYSTEM_CLOCK });
      const host = new BrokerHost({ ...parts, reports, switches: ALL_ON });
      const scheduler = new BrokeredScheduler({ ...parts, host });
      yield* host.start();
      yield* scheduler.start();
      return { name, host, scheduler, membership, directory, log };
    }));
}

const LOOKS = 4_000;
const LOOK_MS = 5;

/** Waits until something is so; dies when it does not come, so that no test hangs. */
export function until(isSo: () => boolean, looks = LOOKS): Effect.Effect<void> {
  return Effect.suspend(() => {
    if (isSo()) return Effect.void;
    if (looks === 0) return Effect.die(new Error(`Never came: ${isSo}`));
    return Effect.andThen(Effect.sleep(LOOK_MS), until(isSo, looks - 1));
  });
}

export const SETTLED: Settlement = {
  outcome: "complete",
  promptTokens: 100,
  outputTokens: 50,
};
