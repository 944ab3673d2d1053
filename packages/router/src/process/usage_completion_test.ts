import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { isComplete } from "./usage_completion.ts";
import { UsageMeter } from "./usage_meter.ts";

const WINDOW_MS = 5_000;
const NO_CHECKPOINT = { lives: [], windows: [] };

/** A leader's meter in window 10, with the last ended window of each daemon. */
function meterWith(ended: Readonly<Record<string, number>>): UsageMeter {
  const meter = new UsageMeter({
    incarnation: "leader",
    windowMs: WINDOW_MS,
    now: () => 10 * WINDOW_MS,
    log: SILENT_LOG,
  });
  for (const [incarnation, window] of Object.entries(ended)) {
    meter.applyEnds([{ incarnation, window, left: false }]);
  }
  return meter;
}

/** Whether window 9 is complete in a fleet of the daemons that have ended it. */
function isEnded(meter: UsageMeter, waited = false): boolean {
  const daemons = [...meter.ends().values()]
    .filter(({ window }) => window >= 9).length;
  return isComplete(9, { meter, checkpoint: NO_CHECKPOINT, daemons, waited });
}

test("a window waits for daemons that were there at its beginning", () => {
  assert.equal(isEnded(meterWith({ a: 9, b: 9 })), true);
  assert.equal(isEnded(meterWith({ a: 9, b: 8 }), true), false);
});

test("a window waits for a daemon that counted in it", () => {
  const meter = meterWith({ a: 9 });
  meter.applyUpdates([{ incarnation: "b", window: 9, counts: [["w", 1]] }]);
  assert.equal(isEnded(meter, true), false);
  meter.applyEnds([{ incarnation: "b", window: 9, left: false }]);
  assert.equal(isEnded(meter), true);
});

// Guards against counts that lack after a group of daemons was cut off for longer
// than a window, and against windows that wait for a lost host until the store fails.
test("a window waits longer for absent groups than for a single host", () => {
  const single = meterWith({ a: 9, b: 9, c: 7 });
  assert.deepEqual([isEnded(single), isEnded(single, true)], [false, true]);
  const group = meterWith({ a: 9, b: 9, c: 7, d: 7 });
  assert.equal(isEnded(group, true), false);
  assert.equal(isEnded(meterWith({ a: 9, b: 9, c: 6, d: 6 })), true);
});

test("a window does not wait for a daemon that has left", () => {
  const meter = meterWith({ a: 9 });
  meter.applyEnds([{ incarnation: "b", window: 8, left: true }]);
  assert.equal(isEnded(meter), true);
});

// Daemons of an earlier version announce nothing.
test("a window waits while daemons are linked that have announced nothing", () => {
  const meter = meterWith({ a: 9 });
  const sources = { meter, checkpoint: NO_CHECKPOINT, waited: true };
  assert.equal(isComplete(9, { ...sources, daemons: 3 }), false);
});

test("a window waits for daemons that only a former leader has heard of", () => {
  const meter = meterWith({ a: 9 });
  const windows = [{ window: 9, counts: {} }];
  const sources = { meter, daemons: 2, waited: true };
  const check = (lives: readonly string[]) =>
    isComplete(9, { ...sources, checkpoint: { lives, windows } });
  assert.deepEqual([check(["a"]), check(["a", "unknown"])], [true, false]);
});
