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
/** Milliseconds after a start until a leader acts. */
const BEGUN_MS = 6_000;

/** A platform that ends calls as a test says. */
class PlayedApi implements PlatformApi {
  readonly reports: UsageReport[] = [];
  readonly orders: RunnerOrder[] = [];
  readonly calls: PlatformCall[] = [];
  end: CallOutcome = { kind: "accepted" };
  takesMs = 4;

  async reportUsage(
    report: UsageReport,
    call: PlatformCall,
  ): Promise<CallOutcome> {
    this.reports.push(report);
    return await this.#answer(call);
  }

  async orderRunners(
    order: RunnerOrder,
    call: PlatformCall,
  ): Promise<CallOutcome> {
    this.orders.push(order);
    return await this.#answer(call);
  }

  async #answer(call: PlatformCall): Promise<CallOutcome> {
    this.calls.push(call);
    await new Promise((resolve) => setTimeout(resolve, this.takesMs));
    return this.end;
  }
}

interface Daemon {
  readonly leader: Leader;
  readonly lease: LeaderLease;
  readonly meter: UsageMeter;
}

/** Daemons with one store and one platform. */
class Played {
  readonly clock: FakeClock;
  readonly store = new MemoryLeaderStore();
  readonly api = new PlayedApi();
  demand: ScalingPolicy | undefined;

  constructor(t: TestContext) {
    this.clock = new FakeClock(t);
  }

  start(name: string): Daemon {
    const steady = () => performance.now();
    const time = new FleetTime({ wall: steady, monotonic: steady });
    const meter = new UsageMeter({
      incarnation: name,
      windowMs: TIMING.windowMs,
      now: () => time.now(),
    });
    const lease = new LeaderLease({
      store: this.store,
      own: { name, incarnation: name },
      leaseMs: LEASE_MS,
      clock: { now: steady, monotonic: steady },
      log: SILENT_LOG,
    });
    const leader = new Leader({
      name,
      lease,
      leaseMs: LEASE_MS,
      api: this.api,
      usage: { meter, timing: TIMING, complete: () => true },
      demand: this.demand,
      eligible: () => true,
      changed() {},
      now: () => time.now(),
      steady,
      random: Math.random,
      log: SILENT_LOG,
      metrics: { term() {}, usageWindow() {}, platformCall() {} },
    });
    void leader.run();
    return { leader, lease, meter };
  }
}

test("a report without an answer is sent again, with the same counts", async (t) => {
  const played = new Played(t);
  const { meter } = played.start("a");
  await played.clock.advance(BEGUN_MS);
  meter.countRequest("fitters");
  const { window } = meter;
  played.api.end = { kind: "failed", reason: "No answer in time" };
  await played.clock.advance(14_000);
  const tries = played.api.reports.filter((each) => each.window === window);
  assert.ok(tries.length > 1, `${tries.length} tries`);
  assert.equal(new Set(tries.map((each) => JSON.stringify(each))).size, 1);
  played.api.end = { kind: "accepted" };
  await played.clock.advance(4_000);
  const before = played.api.reports.length;
  const waiting = played.store.record?.record.work.reports
    .filter(({ accepted }) => !accepted);
  assert.deepEqual(waiting, []);
  await played.clock.advance(3_000);
  const again = played.api.reports.slice(before)
    .filter((each) => each.window === window);
  assert.deepEqual(again, []);
});

test("a leader that leaves ends its call before another one leads", async (t) => {
  const played = new Played(t);
  const first = played.start("a");
  await played.clock.advance(BEGUN_MS);
  played.api.takesMs = 800;
  while (played.api.calls.length === 0) await played.clock.advance(50);
  const left = first.leader.leave();
  await played.clock.advance(100);
  assert.notEqual(played.store.record?.record.holding.holderId, "");
  await played.clock.advance(1_000);
  await left;
  assert.equal(played.store.record?.record.holding.holderId, "");
});

test("a leader whose store does not answer stops, and goes on later", async (t) => {
  const played = new Played(t);
  const { lease, meter } = played.start("a");
  await played.clock.advance(BEGUN_MS);
  assert.ok(lease.held);
  played.store.down = true;
  await played.clock.advance(LEASE_MS);
  assert.equal(lease.held, false);
  const before = played.api.calls.length;
  await played.clock.advance(5_000);
  assert.equal(played.api.calls.length, before);
  played.store.down = false;
  await played.clock.advance(1_500);
  assert.ok(lease.held);
  meter.countRequest("fitters");
  await played.clock.advance(15_000);
  assert.ok(played.api.calls.length > before);
});

test("orders go out once they stand in the store, and only if they change", async (t) => {
  const played = new Played(t);
  const order = {
    service: "drafting",
    failureDomain: "a",
    preemptible: true,
    runners: 5,
  };
  let wanted: readonly RunnerOrder[] = [order];
  played.demand = { desiredOrders: () => wanted, recordNoneLeft() {} };
  played.start("a");
  await played.clock.advance(BEGUN_MS + 5_000);
  assert.deepEqual(played.api.orders, [order]);
  assert.deepEqual(played.store.record?.record.work.orders, [order]);
  wanted = [{ ...order, runners: 7 }];
  await played.clock.advance(2_000);
  assert.deepEqual(played.api.orders.slice(1), wanted);
});
