import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { FleetTime } from "../src/process/fleet_time.ts";
import { Leader } from "../src/process/leader.ts";
import { LeaderLease } from "../src/process/leader_lease.ts";
import type { UsageReport } from "../src/process/leader_record.ts";
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
  /** Has to be set before {@linkcode start}. */
  scalingPolicy: ScalingPolicy | undefined;

  constructor(t: TestContext) {
    this.clock = new FakeClock(t);
  }

  start(name: string): TestLeader {
    const monotonicNow = () => performance.now();
    const time = new FleetTime({ wall: monotonicNow, monotonic: monotonicNow });
    const meter = new UsageMeter({
      incarnation: name,
      windowMs: TIMING.windowMs,
      now: () => time.now(),
      log: SILENT_LOG,
    });
    const lease = new LeaderLease({
      store: this.store,
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
        daemons: () => 1,
        recentDaemons: () => 1,
      },
      scalingPolicy: this.scalingPolicy,
      eligible: () => true,
      leaseChanged() {},
      now: () => time.now(),
      monotonic: monotonicNow,
      random: Math.random,
      log: SILENT_LOG,
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
