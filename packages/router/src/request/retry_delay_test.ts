import assert from "node:assert/strict";
import { test } from "node:test";
import { decideReturn, isHopeless } from "./retry_delay.ts";
import type { ReturnInputs } from "./retry_delay.ts";

/** A plain request of customer H; 24 slots with 43 ms of work are busy. */
const INPUTS: ReturnInputs = {
  remainingMs: 1_500,
  responseMs: 43,
  propagationMs: 90,
  drainPerS: 558,
  ahead: 60,
  promised: 0,
  given: 0,
  unseen: 0,
  spread: 0,
};
/** The longest delay that the caller honours. */
const THIRD_MS = INPUTS.remainingMs / 3;

// Guards against callers that return together, or in another order than their places.
test("callers return one after the other, within what they honour", () => {
  const decisions = Array.from(
    { length: 300 },
    (_, promised) => decideReturn({ ...INPUTS, promised, given: promised }),
  );
  const promised = decisions.filter(({ place }) => place === "promised");
  const delays = promised.map(({ delayMs }) => delayMs);
  assert.ok(delays.every((delayMs) => delayMs >= 249 && delayMs < THIRD_MS));
  assert.deepEqual(delays, [...delays].sort((one, other) => one - other));
  assert.ok(new Set(delays).size > 0.8 * delays.length);
  // The others may be started as far as no request is on time.
  assert.ok(delays.length > 200 && delays.length < 300, `${delays.length}`);
  assert.equal(decisions.at(-1)!.place, "kept");
});

// Guards against callers that return although they cannot be served in time.
test("a caller that cannot be served in time is told so", () => {
  const { place, delayMs } = decideReturn({ ...INPUTS, ahead: 1_000 });
  assert.equal(place, "late");
  assert.ok(delayMs >= INPUTS.remainingMs);
  const { place: unlikely } = decideReturn({ ...INPUTS, remainingMs: 20 });
  assert.equal(unlikely, "late");
});

test("without an observed rate a caller returns in a part of its time", () => {
  for (const spread of [0, 0.5, 0.99]) {
    const inputs = { ...INPUTS, drainPerS: undefined, spread };
    const { place, delayMs } = decideReturn(inputs);
    assert.equal(place, "kept");
    assert.ok(delayMs >= THIRD_MS / 2.05 && delayMs < THIRD_MS);
    assert.equal(isHopeless(inputs, 1), false);
  }
});

// Guards against requests that are held only to be refused at the end.
test("a request that would wait twice as long as it may is refused at once", () => {
  assert.equal(isHopeless({ ...INPUTS, ahead: 500 }, 400), true);
  assert.equal(isHopeless({ ...INPUTS, ahead: 400 }, 400), false);
});
