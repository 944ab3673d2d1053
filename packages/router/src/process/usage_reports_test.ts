import assert from "node:assert/strict";
import { test } from "node:test";
import { INITIAL_STATE } from "./leader_record.ts";
import type { LeaderState } from "./leader_record.ts";
import { UsageMeter } from "./usage_meter.ts";
import {
  checkpointOf,
  finalizeReports,
  withAccepted,
} from "./usage_reports.ts";

const TIMING = { windowMs: 5_000, delayMs: 10_000 };

function meterAt(clock: { now: number }, life = "a"): UsageMeter {
  const { windowMs } = TIMING;
  return new UsageMeter({ incarnation: life, windowMs, now: () => clock.now });
}

function workFrom(nextWindow: number): LeaderState {
  return { ...INITIAL_STATE, nextWindow };
}

test("a window is fixed once, after news of it can have come", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  const at = (now: number) => {
    clock.now = now;
    return { meter, timing: TIMING, now, complete: true };
  };
  const before = workFrom(0);
  assert.equal(finalizeReports(before, at(9_000)), undefined);
  const decision = finalizeReports(before, at(9_600));
  assert.deepEqual(decision?.fixed, [
    { window: 0, counts: { fitters: 1 }, accepted: false },
  ]);
  assert.equal(decision.work.nextWindow, 1);
  assert.equal(finalizeReports(decision.work, at(9_700)), undefined);
});

// Guards against reports without what daemons count that are cut off from others.
test("a window waits longer while some daemons are not heard of", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  clock.now = 12_400;
  const cut = { meter, timing: TIMING, now: 12_400, complete: false };
  assert.equal(finalizeReports(workFrom(0), cut), undefined);
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 7]],
  }]);
  const late = finalizeReports(workFrom(0), { ...cut, now: 12_500 });
  assert.deepEqual(late?.fixed[0]?.counts, { fitters: 8 });
});

test("the first leader begins with the present window", () => {
  const clock = { now: 52_000 };
  const sources = {
    meter: meterAt(clock),
    timing: TIMING,
    now: clock.now,
    complete: true,
  };
  assert.equal(finalizeReports(INITIAL_STATE, sources)?.work.nextWindow, 10);
});

test("a report stays the same whatever is heard later", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  clock.now = 9_600;
  const first = finalizeReports(workFrom(0), {
    meter,
    timing: TIMING,
    now: 9_600,
    complete: true,
  });
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 7]],
  }]);
  clock.now = 14_600;
  const sources = { meter, timing: TIMING, now: 14_600, complete: true };
  const second = finalizeReports(first!.work, sources);
  assert.deepEqual(second?.work.reports[0]?.counts, { fitters: 1 });
});

test("counts of all daemons outlast their loss", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 4], ["office", 2]],
  }]);
  const checkpoint = checkpointOf(workFrom(0), {
    meter,
    timing: TIMING,
    now: clock.now,
    complete: true,
  });
  const next = meterAt(clock, "c");
  next.countRequest("office");
  clock.now = 9_600;
  const sources = {
    meter: next,
    timing: TIMING,
    now: clock.now,
    complete: true,
  };
  const decision = finalizeReports({ ...workFrom(0), checkpoint }, sources);
  assert.deepEqual(decision?.fixed[0]?.counts, { fitters: 5, office: 3 });
});

test("counts that a checkpoint and living daemons both tell count once", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 4]],
  }]);
  const sources = { meter, timing: TIMING, now: clock.now, complete: true };
  const checkpoint = checkpointOf(workFrom(0), sources);
  // The daemon "a" is lost; "b" lives and has counted more since.
  const next = meterAt(clock, "c");
  next.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 4]],
  }]);
  const again = checkpointOf({ ...workFrom(0), checkpoint }, {
    ...sources,
    meter: next,
  });
  assert.deepEqual(again.windows[0]?.counts, { fitters: 5 });
});

test("windows that are due no more are told as missed", () => {
  const clock = { now: 100_000 };
  const sources = {
    meter: meterAt(clock),
    timing: TIMING,
    now: clock.now,
    complete: true,
  };
  const decision = finalizeReports(workFrom(10), sources);
  assert.deepEqual(decision?.missed, [10, 11, 12, 13, 14, 15]);
  assert.deepEqual(decision.fixed.map(({ window }) => window), [16, 17, 18]);
});

test("reports that wait are kept, accepted ones only for a while", () => {
  const reports = [1, 2, 3, 4, 5]
    .map((window) => ({ window, counts: {}, accepted: false }));
  const { reports: kept } = withAccepted(
    { ...workFrom(6), reports },
    new Set([1, 2, 3, 5]),
  );
  assert.deepEqual(kept.map(({ window }) => window), [3, 4, 5]);
});
