import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { FakeClock } from "./fake_clock.ts";
import { Fleet, REPORT_DELAY_MS, WINDOW_MS } from "./fleet.ts";
import type { FleetShape, Member, ReceivedReport } from "./fleet.ts";

const SIZES: readonly FleetShape[] = [
  { daemons: 8, domains: 3 },
  { daemons: 86, domains: 3 },
  { daemons: 380, domains: 6 },
];
/** Time after the start of a fleet until its leader makes calls, in ms. */
const FIRST_CALL_MS = 6_000;
/** Time until the lease of a lost leader has expired and another leads, in ms. */
const FAILOVER_MS = 6_000;
/** Bound for the calls to the leader's store of a whole fleet, in calls a second. */
const MAX_CALLS_PER_S = 1.5;

interface FleetFixture {
  readonly clock: FakeClock;
  readonly fleet: Fleet;
}

async function startFleet(
  t: TestContext,
  shape: FleetShape,
): Promise<FleetFixture> {
  const clock = new FakeClock(t);
  const fleet = new Fleet(clock, shape);
  fleet.configure(1);
  await fleet.startAll();
  await clock.advance(FIRST_CALL_MS);
  return { clock, fleet };
}

function leadersOf({ fleet }: FleetFixture): readonly Member[] {
  return fleet.alive.filter(({ lease }) => lease.held);
}

function leaderOf(fixture: FleetFixture): Member {
  const [leader, ...others] = leadersOf(fixture);
  assert.equal(others.length, 0);
  assert.ok(leader !== undefined, "no daemon leads");
  return leader;
}

/** Counts a request at each daemon; returns its window and the number of requests. */
function countAtAll({ fleet }: FleetFixture) {
  for (const { usage } of fleet.alive) usage.countRequest("fitters");
  return { window: fleet.alive[0]!.usage.window, requests: fleet.alive.length };
}

function arrivalsOf({ fleet }: FleetFixture, window: number) {
  return fleet.leadership.api.arrivals
    .filter((arrival) => arrival.window === window);
}

function checkOnTime(arrival: ReceivedReport | undefined): void {
  assert.ok(arrival !== undefined, "the window was not reported");
  const dueAt = (arrival.window + 1) * WINDOW_MS + REPORT_DELAY_MS;
  assert.ok(arrival.at <= dueAt, `${arrival.at - dueAt} ms late`);
}

for (const shape of SIZES) {
  test(`one of ${shape.daemons} daemons reports the counts of all`, async (t) => {
    const fixture = await startFleet(t, shape);
    const { window, requests } = countAtAll(fixture);
    await fixture.clock.advance(WINDOW_MS + REPORT_DELAY_MS);
    const [arrival, ...others] = arrivalsOf(fixture, window);
    checkOnTime(arrival);
    assert.equal(others.length, 0);
    assert.deepEqual(arrival!.counts, { fitters: requests });
  });

  test(`leader election of ${shape.daemons} daemons makes few calls to the store`, async (t) => {
    const fixture = await startFleet(t, shape);
    const { store } = fixture.fleet.leadership;
    const before = store.calls;
    await fixture.clock.advance(20_000);
    const perS = (store.calls - before) / 20;
    t.diagnostic(`${shape.daemons} daemons: ${perS} calls a second`);
    assert.ok(perS <= MAX_CALLS_PER_S, `${perS} calls a second`);
  });
}

const [, shape] = SIZES;

test("a window is reported in time if the leader is lost before the report is due", async (t) => {
  const fixture = await startFleet(t, shape!);
  const { window, requests } = countAtAll(fixture);
  await fixture.clock.advance(WINDOW_MS);
  const lost = leaderOf(fixture);
  lost.end({ power: true });
  await fixture.clock.advance(FAILOVER_MS);
  assert.notEqual(leaderOf(fixture), lost);
  await fixture.clock.advance(REPORT_DELAY_MS);
  const [arrival] = arrivalsOf(fixture, window);
  checkOnTime(arrival);
  assert.deepEqual(arrival!.counts, { fitters: requests });
});

test("a leader without the store stops before another daemon takes over", async (t) => {
  const fixture = await startFleet(t, shape!);
  const isolated = leaderOf(fixture);
  isolated.storeUnreachable = true;
  let leaderless = 0;
  for (let at = 0; at < 60; at++) {
    await fixture.clock.advance(100);
    assert.ok(leadersOf(fixture).length <= 1);
    leaderless += leadersOf(fixture).length === 0 ? 1 : 0;
  }
  assert.notEqual(leaderOf(fixture), isolated);
  assert.ok(leaderless > 0, "no moment without a leader");
});

test("a window counted before all daemons restart is reported completely", async (t) => {
  const fixture = await startFleet(t, shape!);
  const { window, requests } = countAtAll(fixture);
  await fixture.clock.advance(WINDOW_MS);
  await fixture.fleet.restartAll();
  await fixture.clock.advance(WINDOW_MS + REPORT_DELAY_MS);
  const [arrival] = arrivalsOf(fixture, window);
  checkOnTime(arrival);
  assert.deepEqual(arrival!.counts, { fitters: requests });
});

// Guards against counts that the leader lacks for as long as it takes to dial a daemon
// that was cut off, which others have reached before.
test("the leader of a small fleet hears of a returned daemon from others", async (t) => {
  const fixture = await startFleet(t, SIZES[0]!);
  const { fleet, clock } = fixture;
  const leader = leaderOf(fixture);
  const returned = fleet.alive.find((member) => member !== leader)!;
  fleet.isolate([returned]);
  await clock.advance(2_000);
  returned.usage.countRequest("fitters");
  const { window } = returned.usage;
  await clock.advance(WINDOW_MS);
  fleet.heal();
  returned.blocked.add(leader.contact.name);
  leader.blocked.add(returned.contact.name);
  await clock.advance(4_000);
  assert.ok((leader.usage.totals(window).get("fitters") ?? 0) > 0);
});

// Guards against the loss of what a daemon counted since its last message, and of the
// requests that it finished after SIGTERM.
test("a daemon that stops delivers its last counts", async (t) => {
  const fixture = await startFleet(t, shape!);
  const { window, requests } = countAtAll(fixture);
  const stopping = fixture.fleet.alive.slice(0, 9);
  for (const member of stopping) void member.terminate(700);
  await fixture.clock.advance(690);
  for (const { usage } of stopping) usage.countRequest("fitters");
  await fixture.clock.advance(WINDOW_MS + REPORT_DELAY_MS);
  const [arrival] = arrivalsOf(fixture, window);
  assert.deepEqual(arrival!.counts, { fitters: requests + 9 });
  // Nobody waits for them.
  const dueAt = (window + 1) * WINDOW_MS + REPORT_DELAY_MS;
  assert.ok(dueAt - arrival!.at > 8_000, `${dueAt - arrival!.at} ms left`);
});

test("successive leaders report each window with the same counts", async (t) => {
  const fixture = await startFleet(t, shape!);
  for (let turn = 0; turn < 3; turn++) {
    countAtAll(fixture);
    await fixture.clock.advance(4_000);
    leaderOf(fixture).end({ power: true });
    await fixture.clock.advance(FAILOVER_MS);
  }
  await fixture.clock.advance(REPORT_DELAY_MS);
  const { arrivals } = fixture.fleet.leadership.api;
  const byWindow = new Map<number, string>();
  let fencing = 0;
  for (const { window, counts, fence } of arrivals) {
    const report = JSON.stringify(counts);
    assert.equal(byWindow.get(window) ?? report, report);
    byWindow.set(window, report);
    assert.ok(fence.fencing >= fencing, "a fencing token decreased");
    fencing = fence.fencing;
  }
  const windows = [...byWindow.keys()].sort((one, other) => one - other);
  const last = windows.at(-1)!;
  assert.equal(
    windows.length,
    last - windows[0]! + 1,
    "a window was not reported",
  );
});
