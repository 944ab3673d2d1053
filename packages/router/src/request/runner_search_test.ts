import assert from "node:assert/strict";
import { test } from "node:test";
import { reviewIntervalMs } from "./runner_search.ts";

// Guards against daemons that spend their processor time on reviews: in a
// burst, dozens of requests wait at every daemon. If each evaluates all runners
// several times a second and changes runners, every change is sent to all
// daemons, which process changes and respond to no caller in time.
test("the review rate of a daemon is bounded, however many requests wait", () => {
  const rate = (waitingCount: number) =>
    1_000 * waitingCount / reviewIntervalMs(waitingCount, 110);
  assert.ok(rate(4) < 20);
  assert.ok(rate(50) <= 40);
  assert.equal(rate(500), rate(50));
});

test("few waiting requests are reviewed as soon as changes have propagated", () => {
  assert.equal(reviewIntervalMs(1, 110), 220);
  assert.equal(reviewIntervalMs(1, 40), 200);
});
