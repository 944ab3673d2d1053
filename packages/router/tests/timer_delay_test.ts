import assert from "node:assert/strict";
import { test } from "node:test";
import { InactivityTimer } from "../src/request/inactivity_timer.ts";
import { pause } from "../src/process/pause.ts";
import { timerDelay } from "../src/process/timer_delay.ts";

const LONGEST = 2 ** 31 - 1;
/** Delays that Node's timers take for 1 ms. */
const ODD = [Infinity, 1e300, 9e15, 2 ** 31, NaN];
const OBSERVED_MS = 30;

test("delays are bounded by what a timer takes", () => {
  const delays = [...ODD, LONGEST, 0.5, 0, -0.5, -Infinity].map(timerDelay);
  const longest = ODD.map(() => LONGEST);
  assert.deepEqual(delays, [...longest, LONGEST, 0.5, 0, 0, 0]);
});

// Guards against a loop without a rest, as a timer that is too long fires at once.
test("a pause that is too long for a timer does not end at once", async () => {
  for (const ms of ODD) {
    let ended = false;
    void pause(ms, { background: true }).then(() => ended = true);
    await pause(OBSERVED_MS);
    assert.equal(ended, false, `${ms} ms`);
  }
});

// Guards against the same where a route has no target latency.
test("a time-out that is too long for a timer does not expire", async (t) => {
  const timers = t.mock.method(globalThis, "setTimeout");
  for (const ms of ODD.filter((ms) => !Number.isNaN(ms))) {
    let inactive = false;
    const timer = new InactivityTimer(() => inactive = true);
    const before = timers.mock.callCount();
    timer.restart(ms);
    await pause(OBSERVED_MS);
    timer.stop();
    assert.equal(inactive, false, `${ms} ms`);
    // One by the timer, one by the pause.
    assert.equal(timers.mock.callCount() - before, 2, `${ms} ms`);
  }
});
