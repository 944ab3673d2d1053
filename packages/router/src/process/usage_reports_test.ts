import assert from "node:assert/strict";
import { test } from "node:test";
import { INITIAL_STATE } from "./leader_record.ts";
import type { LeaderState } from "./leader_record.ts";
import { UsageMeter } from "./usage_meter.ts";
import {
  checkpointOf,
  finalizeReports,
  skipLostReports,
  withAccepted,
} from "./usage_reports.ts";

const TIMING = { windowMs: 5_000, delayMs: 10_000 };

function meterAt(clock: { now: number }, incarnation = "a"): UsageMeter {
  const { windowMs } = TIMING;
  return new UsageMeter({ incarnation, windowMs, now: () => clock.now });
}

function stateFrom(nextWindow: number): LeaderState {
  return { ...INITIAL_STATE, nextWindow };
}

test("a window is finalized once, after its counts can have arrived", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  const at = (now: number) => {
    clock.now = now;
    return { meter, timing: TIMING, now, complete: true };
  };
  const before = stateFrom(0);
  assert.equal(finalizeReports(before, at(9_000)), undefined);
  const decision = finalizeReports(before, at(9_600));
  assert.deepEqual(decision?.finalized, [
    { window: 0, counts: { fitters: 1 }, accepted: false },
  ]);
  assert.equal(decision.state.nextWindow, 1);
  assert.equal(finalizeReports(decision.state, at(9_700)), undefined);
});

// Guards against reports that lack the counts of partitioned daemons.
test("a window is finalized later while some daemons are unreachable", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  clock.now = 12_400;
  const partitioned = { meter, timing: TIMING, now: 12_400, complete: false };
  assert.equal(finalizeReports(stateFrom(0), partitioned), undefined);
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 7]],
  }]);
  const late = finalizeReports(stateFrom(0), { ...partitioned, now: 12_500 });
  assert.deepEqual(late?.finalized[0]?.counts, { fitters: 8 });
});

test("the first leader starts with the current window", () => {
  const clock = { now: 52_000 };
  const sources = {
    meter: meterAt(clock),
    timing: TIMING,
    now: clock.now,
    complete: true,
  };
  assert.equal(finalizeReports(INITIAL_STATE, sources)?.state.nextWindow, 10);
});

test("a finalized report ignores counts that arrive later", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  clock.now = 9_600;
  const first = finalizeReports(stateFrom(0), {
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
  const second = finalizeReports(first!.state, sources);
  assert.deepEqual(second?.state.reports[0]?.counts, { fitters: 1 });
});

test("a checkpoint preserves the counts when all daemons are lost", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 4], ["office", 2]],
  }]);
  const checkpoint = checkpointOf(stateFrom(0), {
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
  const decision = finalizeReports({ ...stateFrom(0), checkpoint }, sources);
  assert.deepEqual(decision?.finalized[0]?.counts, { fitters: 5, office: 3 });
});

test("counts in both the checkpoint and the meter are counted once", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 4]],
  }]);
  const sources = { meter, timing: TIMING, now: clock.now, complete: true };
  const checkpoint = checkpointOf(stateFrom(0), sources);
  // The daemon "a" is lost; "b" lives and has counted more since.
  const next = meterAt(clock, "c");
  next.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 4]],
  }]);
  const again = checkpointOf({ ...stateFrom(0), checkpoint }, {
    ...sources,
    meter: next,
  });
  assert.deepEqual(again.windows[0]?.counts, { fitters: 5 });
});

test("windows that are too old to report are returned as missed", () => {
  const clock = { now: 100_000 };
  const sources = {
    meter: meterAt(clock),
    timing: TIMING,
    now: clock.now,
    complete: true,
  };
  const decision = finalizeReports(stateFrom(10), sources);
  assert.deepEqual(decision?.missed, [10, 11, 12, 13, 14, 15]);
  assert.deepEqual(decision.finalized.map(({ window }) => window), [
    16,
    17,
    18,
  ]);
});

test("pending reports are kept, and only the latest accepted ones", () => {
  const reports = [1, 2, 3, 4, 5]
    .map((window) => ({ window, counts: {}, accepted: false }));
  const { reports: kept } = withAccepted(
    { ...stateFrom(6), reports },
    new Set([1, 2, 3, 5]),
  );
  assert.deepEqual(kept.map(({ window }) => window), [3, 4, 5]);
});

test("only windows that could be reported before a restore are skipped", () => {
  const at = (restoredAt: number) =>
    skipLostReports(stateFrom(0), TIMING, restoredAt);
  assert.equal(at(9_400).state.nextWindow, 0);
  assert.deepEqual(at(9_400).missed, []);
  assert.deepEqual(at(9_500).missed, [0]);
  assert.equal(at(14_500).state.nextWindow, 2);
});
