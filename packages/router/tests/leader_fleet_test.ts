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
/** Milliseconds after a start of all in which a leader has begun to act. */
const BEGUN_MS = 6_000;
/** Milliseconds in which the lease of a leader that is lost has run out. */
const LOST_MS = 6_000;
/** Calls to the store of all daemons that its leader costs, in a second. */
const CALLS_PER_S = 1.5;

interface Played {
  readonly clock: FakeClock;
  readonly fleet: Fleet;
}

async function startFleet(t: TestContext, shape: FleetShape): Promise<Played> {
  const clock = new FakeClock(t);
  const fleet = new Fleet(clock, shape);
  fleet.configure(1);
  await fleet.startAll();
  await clock.advance(BEGUN_MS);
  return { clock, fleet };
}

function leadersOf({ fleet }: Played): readonly Member[] {
  return fleet.alive.filter(({ lease }) => lease.held);
}

function leaderOf(played: Played): Member {
  const [leader, ...others] = leadersOf(played);
  assert.equal(others.length, 0);
  assert.ok(leader !== undefined, "there is a leader");
  return leader;
}

/** Each daemon counts a request; returns the window and how many there are. */
function countAll({ fleet }: Played) {
  for (const { usage } of fleet.alive) usage.countRequest("fitters");
  return { window: fleet.alive[0]!.usage.window, requests: fleet.alive.length };
}

function arrivalsOf({ fleet }: Played, window: number) {
  return fleet.leadership.api.arrivals
    .filter((each) => each.window === window);
}

function checkOnTime(arrival: ReceivedReport | undefined): void {
  assert.ok(arrival !== undefined, "the window is reported");
  const dueAt = (arrival.window + 1) * WINDOW_MS + REPORT_DELAY_MS;
  assert.ok(arrival.at <= dueAt, `${arrival.at - dueAt} ms late`);
}

for (const shape of SIZES) {
  test(`one of ${shape.daemons} daemons reports what all have counted`, async (t) => {
    const played = await startFleet(t, shape);
    const { window, requests } = countAll(played);
    await played.clock.advance(WINDOW_MS + REPORT_DELAY_MS);
    const [arrival, ...others] = arrivalsOf(played, window);
    checkOnTime(arrival);
    assert.equal(others.length, 0);
    assert.deepEqual(arrival!.counts, { fitters: requests });
  });

  test(`who leads ${shape.daemons} daemons costs as many calls as in any fleet`, async (t) => {
    const played = await startFleet(t, shape);
    const { store } = played.fleet.leadership;
    const before = store.calls;
    await played.clock.advance(20_000);
    const perS = (store.calls - before) / 20;
    t.diagnostic(`${shape.daemons} daemons: ${perS} calls a second`);
    assert.ok(perS <= CALLS_PER_S, `${perS} calls a second`);
  });
}

const [, shape] = SIZES;

test("a window is reported in time though the leader is lost before it is due", async (t) => {
  const played = await startFleet(t, shape!);
  const { window, requests } = countAll(played);
  await played.clock.advance(WINDOW_MS);
  const lost = leaderOf(played);
  lost.end({ power: true });
  await played.clock.advance(LOST_MS);
  assert.notEqual(leaderOf(played), lost);
  await played.clock.advance(REPORT_DELAY_MS);
  const [arrival] = arrivalsOf(played, window);
  checkOnTime(arrival);
  assert.deepEqual(arrival!.counts, { fitters: requests });
});

test("a leader that is cut from the store is followed, and stops before", async (t) => {
  const played = await startFleet(t, shape!);
  const cut = leaderOf(played);
  cut.storeUnreachable = true;
  let none = 0;
  for (let at = 0; at < 60; at++) {
    await played.clock.advance(100);
    assert.ok(leadersOf(played).length <= 1);
    none += leadersOf(played).length === 0 ? 1 : 0;
  }
  assert.notEqual(leaderOf(played), cut);
  assert.ok(none > 0, "for a while nobody leads");
});

test("a window counted before all daemons are lost is reported whole", async (t) => {
  const played = await startFleet(t, shape!);
  const { window, requests } = countAll(played);
  await played.clock.advance(WINDOW_MS);
  await played.fleet.restartAll();
  await played.clock.advance(WINDOW_MS + REPORT_DELAY_MS);
  const [arrival] = arrivalsOf(played, window);
  checkOnTime(arrival);
  assert.deepEqual(arrival!.counts, { fitters: requests });
});

test("all leaders in turn report each window with the same counts", async (t) => {
  const played = await startFleet(t, shape!);
  for (let turn = 0; turn < 3; turn++) {
    countAll(played);
    await played.clock.advance(4_000);
    leaderOf(played).end({ power: true });
    await played.clock.advance(LOST_MS);
  }
  await played.clock.advance(REPORT_DELAY_MS);
  const { arrivals } = played.fleet.leadership.api;
  const byWindow = new Map<number, string>();
  let fencing = 0;
  for (const { window, counts, fence } of arrivals) {
    const told = JSON.stringify(counts);
    assert.equal(byWindow.get(window) ?? told, told);
    byWindow.set(window, told);
    assert.ok(fence.fencing >= fencing, "numbers never fall");
    fencing = fence.fencing;
  }
  const windows = [...byWindow.keys()].sort((one, other) => one - other);
  const last = windows.at(-1)!;
  assert.equal(windows.length, last - windows[0]! + 1, "no window is left out");
});
