import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../testing/mod.ts";
import { WriteRateLimiter } from "./write_rate_limiter.ts";

const PER_SECOND = 10;

function budget() {
  const clock = new FakeClock({ at: 1_000 });
  return {
    clock,
    writes: new WriteRateLimiter(clock, { writesPerSecond: PER_SECOND }),
  };
}

/** Writes that may start within the time, each as soon as it may. */
function writesWithin(ms: number, setup = budget()): number {
  const { clock, writes } = setup;
  const end = clock.monotonic() + ms;
  for (let count = 0;; count += 1) {
    clock.advance(writes.reserve());
    if (clock.monotonic() >= end) return count;
  }
}

test("writes after an idle time start at once", () => {
  const { writes } = budget();
  assert.equal(writes.reserve(), 0);
  assert.equal(writes.reserve(), 0);
  assert.notEqual(writes.reserve(), 0);
});

test("writes under load keep to the rate", () => {
  const count = writesWithin(10_000);
  assert.ok(count <= 10 * PER_SECOND + 1, `${count}`);
  assert.ok(count >= 10 * PER_SECOND - 1, `${count}`);
});

test("a failing store is written to less and less, and more again after", () => {
  const { writes } = budget();
  const usual = writes.intervalMs;
  for (let failures = 0; failures < 20; failures += 1) writes.recordFailure();
  assert.equal(writes.intervalMs, 1_000);
  for (let successes = 0; successes < 20; successes += 1) {
    writes.recordSuccess();
  }
  assert.equal(writes.intervalMs, usual);
});

test("a store that names a time is left alone until then", () => {
  const { writes } = budget();
  writes.recordFailure(5_000);
  assert.ok(writes.reserve() >= 5_000);
});

test("conflicts slow a writer down to half its rate at most", () => {
  const { writes } = budget();
  const usual = writes.intervalMs;
  for (let conflicts = 0; conflicts < 20; conflicts += 1) {
    writes.recordConflict();
  }
  assert.equal(writes.intervalMs, 2 * usual);
});
