import assert from "node:assert/strict";
import { test } from "node:test";
import { reviewIntervalMs } from "./runner_search.ts";

// Guards against daemons that spend their processor time on reviews: in a
// burst, dozens of requests wait at every daemon. If each evaluates all runners
// several times a second and changes runners, every change is sent to all
// daemons, which process changes and respond to no caller in time.
test("a daemon reviews no more waits a second, however many there are", () => {
  const rate = (waiting: number) =>
    1_000 * waiting / reviewIntervalMs(waiting, 110);
  assert.ok(rate(4) < 20);
  assert.ok(rate(50) <= 40);
  assert.equal(rate(500), rate(50));
});

test("few waits are reviewed as soon as all daemons know of them", () => {
  assert.equal(reviewIntervalMs(1, 110), 220);
  assert.equal(reviewIntervalMs(1, 40), 200);
});
