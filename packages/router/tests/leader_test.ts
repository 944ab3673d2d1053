import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import fc from "fast-check";
import { FleetTime } from "../src/process/fleet_time.ts";
import { Leader } from "../src/process/leader.ts";
import { LeaderLease } from "../src/process/leader_lease.ts";
import { FeedError } from "../src/process/feed.ts";
import type {
  LeaderRecord,
  LeaderStore,
  StoredRecord,
  UsageReport,
} from "../src/process/leader_record.ts";
import type {
  CallOutcome,
  PlatformApi,
  PlatformCall,
} from "../src/process/platform_api.ts";
import type {
  RunnerOrder,
  ScalingPolicy,
} from "../src/process/runner_order.ts";
import { UsageMeter } from "../src/process/usage_meter.ts";
import { FakeClock } from "./fake_clock.ts";
import { MemoryLeaderStore, SILENT_LOG } from "./fixtures.ts";

const LEASE_MS = 3_000;
const TIMING = { windowMs: 5_000, delayMs: 10_000 };
/** Time after the start by which a daemon has become leader, in ms. */
const ELECTION_MS = 6_000;

/** The platform's API; tests set the result and the duration of calls. */
class FakeApi implements PlatformApi {
  readonly reports: UsageReport[] = [];
  readonly orders: RunnerOrder[] = [];
  readonly calls: PlatformCall[] = [];
  result: CallOutcome = { kind: "accepted" };
  responseMs = 4;

  async reportUsage(
    report: UsageReport,
    call: PlatformCall,
  ): Promise<CallOutcome> {
    this.reports.push(report);
    return await this.#respond(call);
  }

  async orderRunners(
    order: RunnerOrder,
    call: PlatformCall,
  ): Promise<CallOutcome> {
    this.orders.push(order);
    return await this.#respond(call);
  }

  async #respond(call: PlatformCall): Promise<CallOutcome> {
    this.calls.push(call);
    await new Promise((resolve) => setTimeout(resolve, this.responseMs));
    return this.result;
  }
}

/** How the store handles the calls of one daemon. */
type StoreMode = "normal" | "down" | "loses-responses" | "late";

/** A daemon's access to a store that may fail. */
class FaultyStore implements LeaderStore {
  readonly #store: MemoryLeaderStore;
  /** Writes that take effect later. */
  readonly #delayed: (() => void)[];
  mode: StoreMode = "normal";

  constructor(store: MemoryLeaderStore, delayed: (() => void)[]) {
    this.#store = store;
    this.#delayed = delayed;
  }

  async read(): Promise<StoredRecord> {
    if (this.mode === "down") throw new FeedError("unavailable", "down");
    return await this.#store.read();
  }

  async write(record: LeaderRecord, ifRevision: number) {
    if (this.mode === "down") throw new FeedError("unavailable", "down");
    if (this.mode === "late") {
      this.#delayed.push(() => void this.#store.write(record, ifRevision));
      throw new FeedError("unavailable", "no response");
    }
    const result = await this.#store.write(record, ifRevision);
    if (this.mode === "normal") return result;
    throw new FeedError("unavailable", "response lost");
  }
}

/** The parts of a daemon that lead. */
interface TestLeader {
  readonly leader: Leader;
  readonly lease: LeaderLease;
  readonly meter: UsageMeter;
}

/** Starts daemons that share a store and a fake of the platform's API. */
class LeaderFixture {
  readonly clock: FakeClock;
  readonly store = new MemoryLeaderStore();
  readonly api = new FakeApi();
  /** Names of the events that were logged. */
  readonly events: string[] = [];
  /** Has to be set before {@linkcode start}. */
  scalingPolicy: ScalingPolicy | undefined;

  constructor(t: TestContext) {
    this.clock = new FakeClock(t);
  }

  start(
    name: string,
    options: {
      readonly store?: LeaderStore;
      /** Number of daemons in the fleet. */
      readonly daemons?: number;
      /** Number of daemons that were recently in the fleet. */
      readonly recentDaemons?: number;
    } = {},
  ): TestLeader {
    const { store = this.store, daemons = 1 } = options;
    const { recentDaemons = daemons } = options;
    const monotonicNow = () => performance.now();
    const time = new FleetTime({ wall: monotonicNow, monotonic: monotonicNow });
    const meter = new UsageMeter({
      incarnation: name,
      windowMs: TIMING.windowMs,
      now: () => time.now(),
      log: SILENT_LOG,
    });
    const lease = new LeaderLease({
      store,
      own: { name, incarnation: name },
      leaseMs: LEASE_MS,
      clock: { now: monotonicNow, monotonic: monotonicNow },
      log: SILENT_LOG,
    });
    const leader = new Leader({
      name,
      lease,
      leaseMs: LEASE_MS,
      api: this.api,
      usage: {
        meter,
        timing: TIMING,
        daemons: () => daemons,
        recentDaemons: () => recentDaemons,
      },
      scalingPolicy: this.scalingPolicy,
      eligible: () => true,
      leaseChanged() {},
      now: () => time.now(),
      monotonic: monotonicNow,
      random: Math.random,
      log: { ...SILENT_LOG, event: (name) => void this.events.push(name) },
      metrics: { term() {}, usageWindow() {}, platformCall() {} },
    });
    void leader.run();
    return { leader, lease, meter };
  }
}

test("a report is sent again with the same counts until it is accepted", async (t) => {
  const fixture = new LeaderFixture(t);
  const { meter } = fixture.start("a");
  await fixture.clock.advance(ELECTION_MS);
  meter.countRequest("fitters");
  const { window } = meter;
  fixture.api.result = { kind: "failed", reason: "No response in time" };
  await fixture.clock.advance(14_000);
  const attempts = fixture.api.reports.filter((report) =>
    report.window === window
  );
  assert.ok(attempts.length > 1, `${attempts.length} attempts`);
  assert.equal(
    new Set(attempts.map((report) => JSON.stringify(report))).size,
    1,
  );
  fixture.api.result = { kind: "accepted" };
  await fixture.clock.advance(4_000);
  const before = fixture.api.reports.length;
  const pending = fixture.store.record.record?.work.reports
    .filter(({ accepted }) => !accepted);
  assert.deepEqual(pending, []);
  await fixture.clock.advance(3_000);
  const repeated = fixture.api.reports.slice(before)
    .filter((report) => report.window === window);
  assert.deepEqual(repeated, []);
});

test("a leader that shuts down finishes its call before it releases the lease", async (t) => {
  const fixture = new LeaderFixture(t);
  const first = fixture.start("a");
  await fixture.clock.advance(ELECTION_MS);
  fixture.api.responseMs = 800;
  const { length: before } = fixture.api.calls;
  while (fixture.api.calls.length === before) await fixture.clock.advance(50);
  const stepDown = first.leader.stepDown();
  await fixture.clock.advance(100);
  // The holder's id is empty once the lease is released.
  assert.notEqual(fixture.store.record.record?.holding.holderId, "");
  await fixture.clock.advance(1_000);
  await stepDown;
  assert.equal(fixture.store.record.record?.holding.holderId, "");
});

test("a leader makes no calls while the store is unavailable, and leads again later", async (t) => {
  const fixture = new LeaderFixture(t);
  const { lease, meter } = fixture.start("a");
  await fixture.clock.advance(ELECTION_MS);
  assert.ok(lease.held);
  fixture.store.down = true;
  await fixture.clock.advance(LEASE_MS);
  assert.equal(lease.held, false);
  const before = fixture.api.calls.length;
  // Meanwhile the report of a window, even of an empty one, falls due.
  await fixture.clock.advance(5_000);
  assert.equal(fixture.api.calls.length, before);
  fixture.store.down = false;
  await fixture.clock.advance(1_500);
  assert.ok(lease.held);
  meter.countRequest("fitters");
  await fixture.clock.advance(15_000);
  assert.ok(fixture.api.calls.length > before);
});

// Guards against a leader that was cut off and lacks the counts of most daemons.
test("a daemon that sees little of the fleet leaves the lease to others", async (t) => {
  const fixture = new LeaderFixture(t);
  const partial = fixture.start("a", { daemons: 4, recentDaemons: 9 });
  await fixture.clock.advance(500);
  const { lease, leader } = fixture.start("b", { daemons: 9 });
  await fixture.clock.advance(ELECTION_MS);
  assert.deepEqual([partial.lease.held, lease.held], [false, true]);
  // Without others it leads all the same.
  leader.stop();
  await fixture.clock.advance(2 * LEASE_MS + 2_000);
  assert.equal(partial.lease.held, true);
});

test("orders are stored and sent, and sent again when they change", async (t) => {
  const fixture = new LeaderFixture(t);
  const order = {
    service: "drafting",
    failureDomain: "a",
    preemptible: true,
    runners: 5,
  };
  let desired: readonly RunnerOrder[] = [order];
  fixture.scalingPolicy = {
    desiredOrders: () => desired,
    recordDepleted() {},
  };
  fixture.start("a");
  await fixture.clock.advance(ELECTION_MS + 5_000);
  assert.deepEqual(fixture.api.orders, [order]);
  assert.deepEqual(fixture.store.record.record?.work.orders, [order]);
  desired = [{ ...order, runners: 7 }];
  await fixture.clock.advance(2_000);
  assert.deepEqual(fixture.api.orders.slice(1), desired);
});

// Guards against a second report with other counts for a window whose report the
// restored store has forgotten.
test("a successor skips windows whose reports a restore may have lost", async (t) => {
  const fixture = new LeaderFixture(t);
  const { leader, meter } = fixture.start("a");
  await fixture.clock.advance(ELECTION_MS);
  meter.countRequest("fitters");
  const { window } = meter;
  const copy = fixture.store.record;
  const isReported = () =>
    fixture.api.reports.some((report) => report.window === window);
  while (!isReported()) await fixture.clock.advance(100);
  leader.stop();
  fixture.store.restore(copy);
  const successor = fixture.start("b");
  successor.meter.countRequest("fitters");
  await fixture.clock.advance(30_000);
  const windows = fixture.api.reports.map((report) => report.window);
  assert.deepEqual(
    windows.filter((reported) => reported === window).length,
    1,
  );
  assert.ok(Math.max(...windows) > window, windows.join());
});

// Guards against a process that ends because a step of its leader fails.
test("a leader whose step fails gives up the lease, and goes on", async (t) => {
  const fixture = new LeaderFixture(t);
  let fails = true;
  fixture.scalingPolicy = {
    desiredOrders() {
      if (fails) throw new RangeError("Maximum call stack size exceeded");
      return [];
    },
    recordDepleted() {},
  };
  const { lease } = fixture.start("a");
  await fixture.clock.advance(ELECTION_MS);
  assert.ok(fixture.events.includes("leader_failed"), fixture.events.join());
  assert.equal(lease.held, false);
  assert.equal(fixture.store.record.record?.holding.holderId, "");
  const { length: before } = fixture.events;
  await fixture.clock.advance(300_000);
  const failures = fixture.events.slice(before)
    .filter((name) => name === "leader_failed").length;
  assert.ok(failures >= 8 && failures <= 16, `${failures} failures`);
  fails = false;
  await fixture.clock.advance(35_000);
  assert.equal(lease.held, true);
});

const HOSTS = 2;

type Step =
  | { readonly kind: "pass"; readonly ms: number }
  | { readonly kind: "mode"; readonly host: number; readonly mode: StoreMode }
  | { readonly kind: "restart" | "stepDown"; readonly host: number }
  | { readonly kind: "applyDelayed" | "copy" | "restore" };

function steps(): fc.Arbitrary<readonly Step[]> {
  const host = fc.nat(HOSTS - 1);
  const pass = fc.record({
    kind: fc.constant("pass" as const),
    ms: fc.constantFrom(200, 700, 1_500, 4_000),
  });
  const mode = fc.record({
    kind: fc.constant("mode" as const),
    host,
    mode: fc.constantFrom<StoreMode>(
      "normal",
      "normal",
      "down",
      "loses-responses",
      "late",
    ),
  });
  const restart = fc.record({
    kind: fc.constantFrom("restart" as const, "stepDown" as const),
    host,
  });
  const store = fc.record({
    kind: fc.constantFrom(
      "applyDelayed" as const,
      "applyDelayed" as const,
      "copy" as const,
      "restore" as const,
    ),
  });
  return fc.array(
    fc.oneof(
      { weight: 8, arbitrary: pass },
      { weight: 5, arbitrary: mode },
      { weight: 2, arbitrary: restart },
      { weight: 3, arbitrary: store },
    ),
    { minLength: 40, maxLength: 100, size: "max" },
  );
}

/** Counts requests in the last windows, as they arrive late from other daemons. */
function addCounts(leaders: readonly TestLeader[], clock: FakeClock): void {
  for (const [host, { meter }] of leaders.entries()) {
    if (clock.random() > 0.1) continue;
    const { window } = meter;
    meter.applyUpdates([window - 2, window - 1, window].map((each) => ({
      incarnation: `counts-${host}`,
      window: each,
      counts: [["fitters", Math.round(clock.now)]],
    })));
  }
}

/** Runs a history of leaders that never hear of each other's counts. */
async function replay(t: TestContext, history: readonly Step[]) {
  const fixture = new LeaderFixture(t);
  const { clock, store, api } = fixture;
  const delayed: (() => void)[] = [];
  const stores = Array.from(
    { length: HOSTS },
    () => new FaultyStore(store, delayed),
  );
  let starts = 0;
  const start = (host: number) =>
    fixture.start(`${host}-${starts++}`, { store: stores[host]!, daemons: 9 });
  const leaders = stores.map((_, host) => start(host));
  let copy = store.record;
  let withoutStore = 0;
  for (const step of history) {
    switch (step.kind) {
      case "pass":
        for (let ms = 0; ms < step.ms; ms += 100) {
          const { length: before } = api.reports;
          await clock.advance(100);
          const [leader] = leaders.filter(({ lease }) => lease.held);
          const index = leader === undefined ? -1 : leaders.indexOf(leader);
          if (stores[index]?.mode === "down") {
            withoutStore += api.reports.length - before;
          }
          // A report is sent again, by a successor as well.
          api.result = clock.random() < 0.8
            ? { kind: "failed", reason: "No response in time" }
            : { kind: "accepted" };
          addCounts(leaders, clock);
        }
        break;
      case "mode":
        stores[step.host]!.mode = step.mode;
        break;
      case "restart":
        leaders[step.host]!.leader.stop();
        leaders[step.host] = start(step.host);
        break;
      case "stepDown":
        void leaders[step.host]!.leader.stepDown();
        leaders[step.host] = start(step.host);
        break;
      case "applyDelayed":
        for (const apply of delayed.splice(0)) apply();
        break;
      case "copy":
        copy = store.record;
        break;
      case "restore":
        store.restore(copy);
        break;
    }
  }
  for (const { leader } of leaders) leader.stop();
  clock.restore();
  return { reports: api.reports, withoutStore };
}

// Guards against two reports of one window with different counts, of which the
// platform could not tell the right one.
test("a window is never reported with different counts, whatever the store does", async (t) => {
  let reported = 0;
  let withoutStore = 0;
  await fc.assert(
    fc.asyncProperty(steps(), async (history) => {
      const made = await replay(t, history);
      const texts = new Map<number, string>();
      for (const { window, counts } of made.reports) {
        const text = JSON.stringify(counts);
        assert.equal(text, texts.get(window) ?? text, `window ${window}`);
        texts.set(window, text);
      }
      reported += texts.size;
      withoutStore += made.withoutStore;
    }),
    { numRuns: 800, seed: 20_261_203 },
  );
  t.diagnostic(`${reported} windows, ${withoutStore} without the store`);
  // Histories without reports while the store is down would test nothing.
  assert.ok(reported > 1_000 && withoutStore > 50, `${withoutStore}`);
});
