import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../testing/mod.ts";
import { WriteRateLimiter } from "./write_rate_limiter.ts";

const PER_SECOND = 10;

function rateLimiter() {
  const clock = new FakeClock({ at: 1_000 });
  return {
    clock,
    writes: new WriteRateLimiter(clock, { writesPerSecond: PER_SECOND }),
  };
}

/**
 * Returns the number of writes that may start within a time, each as early as
 * possible.
 */
function writesWithin(ms: number, setup = rateLimiter()): number {
  const { clock, writes } = setup;
  const end = clock.monotonic() + ms;
  for (let count = 0;; count += 1) {
    clock.advance(writes.reserve());
    if (clock.monotonic() >= end) return count;
  }
}

test("writes after an idle period start without delay", () => {
  const { writes } = rateLimiter();
  assert.equal(writes.reserve(), 0);
  assert.equal(writes.reserve(), 0);
  assert.notEqual(writes.reserve(), 0);
});

test("writes under load stay within the rate", () => {
  const count = writesWithin(10_000);
  assert.ok(count <= 10 * PER_SECOND + 1, `${count}`);
  assert.ok(count >= 10 * PER_SECOND - 1, `${count}`);
});

test("the write rate drops while the store fails, and recovers afterwards", () => {
  const { writes } = rateLimiter();
  const usual = writes.intervalMs;
  for (let failures = 0; failures < 20; failures += 1) writes.recordFailure();
  assert.equal(writes.intervalMs, 1_000);
  for (let successes = 0; successes < 20; successes += 1) {
    writes.recordSuccess();
  }
  assert.equal(writes.intervalMs, usual);
});

test("no write starts before the retry-after time of the store", () => {
  const { writes } = rateLimiter();
  writes.recordFailure(5_000);
  assert.ok(writes.reserve() >= 5_000);
});

test("conflicts reduce a writer to half its rate at most", () => {
  const { writes } = rateLimiter();
  const usual = writes.intervalMs;
  for (let conflicts = 0; conflicts < 20; conflicts += 1) {
    writes.recordConflict();
  }
  assert.equal(writes.intervalMs, 2 * usual);
});
