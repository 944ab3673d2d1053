import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../testing/mod.ts";
import { WriteRateLimiter } from "./write_rate_limiter.ts";

const PER_SECOND = 10;

function rateLimiter() {
  const clock = new FakeClock({ at: 1_000 });
  return {
    clock,
    limiter: new WriteRateLimiter(clock, { writesPerSecond: PER_SECOND }),
  };
}

/**
 * Returns the number of writes that may start within a time, each as early as
 * possible.
 */
function writesWithin(ms: number, setup = rateLimiter()): number {
  const { clock, limiter } = setup;
  const end = clock.monotonic() + ms;
  for (let count = 0;; count += 1) {
    clock.advance(limiter.reserve());
    if (clock.monotonic() >= end) return count;
  }
}

test("writes after an idle period start without delay", () => {
  const { limiter } = rateLimiter();
  assert.equal(limiter.reserve(), 0);
  assert.equal(limiter.reserve(), 0);
  assert.notEqual(limiter.reserve(), 0);
});

test("writes under load stay within the rate", () => {
  const count = writesWithin(10_000);
  assert.ok(count <= 10 * PER_SECOND + 1, `${count}`);
  assert.ok(count >= 10 * PER_SECOND - 1, `${count}`);
});

test("the write rate drops while the store fails, and recovers afterwards", () => {
  const { limiter } = rateLimiter();
  const usual = limiter.intervalMs;
  for (let count = 0; count < 20; count += 1) limiter.recordFailure();
  assert.equal(limiter.intervalMs, 1_000);
  for (let count = 0; count < 20; count += 1) limiter.recordSuccess();
  assert.equal(limiter.intervalMs, usual);
});

test("no write starts before the retry-after time of the store", () => {
  const { limiter } = rateLimiter();
  limiter.recordFailure(5_000);
  assert.ok(limiter.reserve() >= 5_000);
});

test("conflicts reduce a writer to half its rate at most", () => {
  const { limiter } = rateLimiter();
  const usual = limiter.intervalMs;
  for (let count = 0; count < 20; count += 1) limiter.recordConflict();
  assert.equal(limiter.intervalMs, 2 * usual);
});
