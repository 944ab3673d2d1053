import assert from "node:assert/strict";
import { test } from "node:test";
import { DrainRate } from "./drain_rate.ts";

/** Responses of 43 ms for rank 2, and one in five of 430 ms for rank 1. */
function observedRate(now: number): DrainRate {
  const rate = new DrainRate();
  for (let index = 0; index < 100; index++) {
    const [rank, durationMs] = index % 5 === 0 ? [1, 430] : [2, 43];
    const ended = { rank: rank!, durationMs: durationMs!, inFlight: 24 };
    rate.recordEnd(ended, now);
  }
  return rate;
}

// Guards against a rate that states the demand before a burst, and not the capacity.
test("the rate follows the requests that are at runners", () => {
  const rate = observedRate(0);
  const perSecond = rate.perSecond({ inFlight: 24, rank: 2 }, 0)!;
  assert.ok(Math.abs(perSecond - 24_000 / 120.4) < 1, `${perSecond}`);
  const half = rate.perSecond({ inFlight: 12, rank: 2 }, 0)!;
  assert.ok(Math.abs(half - perSecond / 2) < 1);
  const urgent = rate.perSecond({ inFlight: 24, rank: 1 }, 0)!;
  assert.ok(Math.abs(urgent / perSecond - 0.2) < 0.01);
  assert.equal(rate.meanMs(1, 0), 430);
});

test("too few and old observations give no rate", () => {
  const rate = new DrainRate();
  rate.recordEnd({ rank: 0, durationMs: 5, inFlight: 1 }, 0);
  assert.equal(rate.perSecond({ inFlight: 5, rank: 0 }, 0), undefined);
  assert.equal(rate.meanMs(0, 0), undefined);
  const old = observedRate(0);
  assert.equal(old.perSecond({ inFlight: 5, rank: 0 }, 60_000), undefined);
});

// Guards against requests that are refused at the start of a burst, when engines take
// many for seconds before the first one ends.
test("the rate includes the growth at the start of a burst", () => {
  const rate = new DrainRate();
  for (let now = 0; now < 2_000; now += 100) {
    rate.recordEnd({ rank: 0, durationMs: 4_000, inFlight: 40 }, now);
  }
  // From here on, 200 requests a second are started, and none ends.
  const rates = [500, 1_000, 1_500, 2_000].map((ms) =>
    rate.perSecond({ inFlight: 40 + ms / 5, rank: 0 }, 2_000 + ms)!
  );
  assert.ok(rates[0]! > 100 && rates[3]! > 200, rates.join(" "));
  for (let now = 4_100; now < 8_000; now += 100) {
    rate.recordEnd({ rank: 0, durationMs: 4_000, inFlight: 440 }, now);
  }
  const settled = rate.perSecond({ inFlight: 440, rank: 0 }, 8_000)!;
  assert.ok(Math.abs(settled - 110) < 10, `${settled}`);
});
