import assert from "node:assert/strict";
import { test } from "node:test";
import { INITIAL_STATE } from "./leader_record.ts";
import type { LeaderState } from "./leader_record.ts";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { UsageMeter } from "./usage_meter.ts";
import type { UsageSources } from "./usage_reports.ts";
import {
  checkpointOf,
  finalizeReports,
  skipLostReports,
  withAccepted,
} from "./usage_reports.ts";

const TIMING = { windowMs: 5_000, delayMs: 10_000 };

function meterAt(clock: { now: number }, incarnation = "a"): UsageMeter {
  const { windowMs } = TIMING;
  const now = () => clock.now;
  return new UsageMeter({ incarnation, windowMs, now, log: SILENT_LOG });
}

/** Inputs of a leader in a fleet of one daemon by default. */
function sourcesAt(now: number, meter: UsageMeter, daemons = 1): UsageSources {
  const timing = TIMING;
  const frozen = new Set<number>();
  return { meter, timing, now, daemons, writing: false, frozen };
}

function stateFrom(nextWindow: number): LeaderState {
  return { ...INITIAL_STATE, nextWindow };
}

test("a window is finalized once, as soon as all daemons have ended it", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 7]],
  }]);
  const at = (now: number) => {
    clock.now = now;
    return sourcesAt(now, meter, 2);
  };
  const before = stateFrom(0);
  assert.equal(finalizeReports(before, at(5_100)), undefined);
  meter.applyEnds([{ incarnation: "b", window: 0, left: false }]);
  assert.equal(finalizeReports(before, at(4_990)), undefined);
  const decision = finalizeReports(before, at(5_200));
  assert.deepEqual(decision?.finalized, [
    { window: 0, counts: { fitters: 8 }, accepted: false },
  ]);
  assert.equal(decision.state.nextWindow, 1);
  assert.equal(finalizeReports(decision.state, at(5_300)), undefined);
});

// Guards against reports that lack the counts of partitioned daemons.
test("a window is finalized shortly before its report is due while counts are missing", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  clock.now = 12_900;
  const partitioned = sourcesAt(12_900, meter, 2);
  assert.equal(finalizeReports(stateFrom(0), partitioned), undefined);
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 7]],
  }]);
  clock.now = 13_000;
  const late = finalizeReports(stateFrom(0), sourcesAt(13_000, meter, 2));
  assert.deepEqual(late?.finalized[0]?.counts, { fitters: 8 });
});

// Guards against a window that is not reported at all because the store is down when
// it is due, and against counts that change after they may have been sent.
test("an incomplete window is held with each renewal, and can be replaced until it is sent", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  const decideAt = (now: number, state: LeaderState, frozen: number[] = []) => {
    clock.now = now;
    return finalizeReports(state, {
      ...sourcesAt(now, meter, 2),
      writing: true,
      frozen: new Set(frozen),
    });
  };
  assert.equal(decideAt(9_400, stateFrom(0)), undefined);
  const held = decideAt(9_600, stateFrom(0))!;
  assert.deepEqual(held.finalized, []);
  assert.deepEqual(held.state.reports, [
    { window: 0, counts: { fitters: 1 }, accepted: false, held: true },
  ]);
  assert.equal(held.state.nextWindow, 1);
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 7]],
  }]);
  const replaced = decideAt(10_800, held.state)!;
  assert.deepEqual(replaced.state.reports[0]?.counts, { fitters: 8 });
  const sent = decideAt(10_800, held.state, [0])!;
  assert.deepEqual(sent.finalized, [
    { window: 0, counts: { fitters: 1 }, accepted: false },
  ]);
  const final = decideAt(13_000, replaced.state)!;
  assert.deepEqual(final.state.reports, [
    { window: 0, counts: { fitters: 8 }, accepted: false },
  ]);
  const restored = skipLostReports(replaced.state, TIMING, 12_000);
  assert.deepEqual(restored.missed, { first: 0, last: 1, count: 2 });
  assert.deepEqual(restored.state.reports, []);
});

// Guards against a window that is complete, but waits for an earlier one until the
// store is down.
test("a complete window does not wait for an earlier one", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  meter.applyUpdates([{
    incarnation: "dead",
    window: 0,
    counts: [["fitters", 7]],
  }]);
  const timing = { ...TIMING, delayMs: 30_000 };
  const at = (now: number) => {
    clock.now = now;
    return { ...sourcesAt(now, meter), timing };
  };
  const decision = finalizeReports(stateFrom(0), at(10_200));
  assert.deepEqual(decision?.finalized.map(({ window }) => window), [1]);
  const { state } = decision;
  assert.deepEqual([state.nextWindow, state.open], [2, [0]]);
  const checkpoint = checkpointOf(state, at(10_200));
  assert.deepEqual(checkpoint.windows[0], {
    window: 0,
    counts: { fitters: 8 },
  });
  const late = finalizeReports(state, at(33_000));
  assert.deepEqual(late?.finalized[0]?.counts, { fitters: 8 });
  assert.equal(late?.state.open, undefined);
});

test("the first leader starts with the current window", () => {
  const clock = { now: 52_000 };
  const sources = sourcesAt(clock.now, meterAt(clock));
  assert.equal(finalizeReports(INITIAL_STATE, sources)?.state.nextWindow, 10);
});

test("a finalized report ignores counts that arrive later", () => {
  const clock = { now: 1_000 };
  const meter = meterAt(clock);
  meter.countRequest("fitters");
  clock.now = 9_600;
  const first = finalizeReports(stateFrom(0), sourcesAt(9_600, meter));
  meter.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 7]],
  }]);
  clock.now = 14_600;
  const second = finalizeReports(first!.state, sourcesAt(14_600, meter));
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
  const checkpoint = checkpointOf(stateFrom(0), sourcesAt(clock.now, meter));
  const next = meterAt(clock, "c");
  next.countRequest("office");
  const state = { ...stateFrom(0), checkpoint };
  // The leader cannot tell that the others are lost.
  clock.now = 9_600;
  assert.equal(finalizeReports(state, sourcesAt(9_600, next)), undefined);
  clock.now = 13_000;
  const decision = finalizeReports(state, sourcesAt(13_000, next));
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
  const checkpoint = checkpointOf(stateFrom(0), sourcesAt(clock.now, meter));
  // The daemon "a" is lost; "b" lives and has counted more since.
  const next = meterAt(clock, "c");
  next.applyUpdates([{
    incarnation: "b",
    window: 0,
    counts: [["fitters", 4]],
  }]);
  const second = { ...stateFrom(0), checkpoint };
  const again = checkpointOf(second, sourcesAt(clock.now, next));
  assert.deepEqual(again.windows[0]?.counts, { fitters: 5 });
  // The daemon "a" was only cut off; its counts reach the third leader.
  const last = meterAt(clock, "d");
  last.applyUpdates([...meter.snapshot(), ...next.snapshot()]);
  const third = { ...stateFrom(0), checkpoint: again };
  const { windows } = checkpointOf(third, sourcesAt(clock.now, last));
  assert.deepEqual(windows[0]?.counts, { fitters: 5 });
});

test("windows that are too old to report are returned as missed", () => {
  const clock = { now: 100_000 };
  const sources = sourcesAt(clock.now, meterAt(clock));
  const decision = finalizeReports(stateFrom(10), sources);
  assert.deepEqual(decision?.missed, { first: 10, last: 15, count: 6 });
  assert.deepEqual(decision.finalized.map(({ window }) => window), [
    16,
    17,
    18,
    19,
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
  assert.equal(at(4_900).state.nextWindow, 0);
  assert.deepEqual(at(4_900).missed, undefined);
  assert.deepEqual(at(5_000).missed, { first: 0, last: 0, count: 1 });
  assert.equal(at(10_000).state.nextWindow, 2);
  const open = { ...stateFrom(2), open: [0] };
  const { state, missed } = skipLostReports(open, TIMING, 14_900);
  assert.deepEqual(missed, { first: 0, last: 0, count: 1 });
  assert.equal(state.open, undefined);
});

const NOW = 1_796_000_000_000;
const CURRENT = NOW / TIMING.windowMs;
const MAX_DECISION_BYTES = 2_000;

/** A list that counts the reads of its items. */
function countingList(items: readonly number[]) {
  const work = { reads: 0 };
  const list = new Proxy([...items], {
    get(target, key, receiver) {
      if (typeof key === "string" && /^\d+$/.test(key)) work.reads += 1;
      return Reflect.get(target, key, receiver);
    },
  });
  return { list, work };
}

// Guards against a leader that stands still, or ends, after days without a daemon.
for (const days of [5, 9, 400]) {
  test(`windows of ${days} days without a daemon are missed at once`, () => {
    const windows = days * 24 * 3_600_000 / TIMING.windowMs;
    const before = {
      ...stateFrom(CURRENT - windows),
      open: [CURRENT - windows - 2],
    };
    const decision = finalizeReports(
      before,
      sourcesAt(NOW, meterAt({ now: NOW })),
    )!;
    assert.deepEqual(decision.missed, {
      first: CURRENT - windows - 2,
      last: CURRENT - 5,
      count: windows - 4 + 1,
    });
    assert.deepEqual(
      decision.finalized.map(({ window }) => CURRENT - window),
      [4, 3, 2, 1],
    );
    assert.ok(JSON.stringify(decision).length < MAX_DECISION_BYTES);
    const skipped = skipLostReports(before, TIMING, NOW);
    assert.equal(skipped.state.nextWindow, CURRENT);
    assert.ok(JSON.stringify(skipped).length < MAX_DECISION_BYTES);
  });
}

test("a long list of open windows is read a few times at most", () => {
  const length = 100_000;
  const items = Array.from({ length }, (_, at) => CURRENT - length + at);
  const { list, work } = countingList(items);
  const before = { ...stateFrom(CURRENT), open: list };
  const sources = sourcesAt(NOW, meterAt({ now: NOW }));
  const decision = finalizeReports(before, sources)!;
  assert.equal(decision.missed?.count, length - 4);
  assert.ok(JSON.stringify(decision).length < MAX_DECISION_BYTES);
  assert.ok(work.reads <= 10 * length, `${work.reads} reads`);
  skipLostReports(before, TIMING, NOW);
  checkpointOf(before, sources);
  assert.ok(work.reads <= 20 * length, `${work.reads} reads`);
});

// Guards against usage that is not reported until a time that a wrong clock gave.
for (const next of [1e15, CURRENT + 1_000, -1e15]) {
  test(`reports go on after a record whose next window is ${next}`, () => {
    const clock = { now: NOW };
    const meter = meterAt(clock);
    const first = finalizeReports(stateFrom(next), sourcesAt(NOW, meter))!;
    assert.ok(JSON.stringify(first).length < MAX_DECISION_BYTES);
    meter.countRequest("fitters");
    clock.now += TIMING.windowMs;
    const second = finalizeReports(first.state, sourcesAt(clock.now, meter))!;
    assert.deepEqual(second.finalized, [
      { window: CURRENT, counts: { fitters: 1 }, accepted: false },
    ]);
  });
}

test("a window with a fixed report is not decided again after the clock went back", () => {
  const report = { window: CURRENT, counts: { fitters: 3 }, accepted: true };
  const state = { ...stateFrom(CURRENT + 1_000), reports: [report] };
  const clock = { now: NOW };
  const meter = meterAt(clock);
  const first = finalizeReports(state, sourcesAt(NOW, meter))!;
  clock.now += 2 * TIMING.windowMs;
  const second = finalizeReports(first.state, sourcesAt(clock.now, meter))!;
  assert.deepEqual(second.finalized.map(({ window }) => window), [CURRENT + 1]);
  assert.deepEqual(second.state.reports[0], report);
});
