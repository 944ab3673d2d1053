import assert from "node:assert/strict";
import { test } from "node:test";
import { DemandEstimator } from "./demand_estimator.ts";

/** Sees the same for some seconds; returns what is needed then. */
function seeFor(need: DemandEstimator, busy: number, span: {
  readonly from: number;
  readonly to: number;
}) {
  for (let now = span.from; now < span.to; now += 200) need.observe(busy, now);
  return need.estimate(span.to);
}

test("before anything was seen, what stands is needed", () => {
  const need = new DemandEstimator(12);
  assert.deepEqual(need.estimate(1_000), { now: 0, peak: 12 });
});

test("more are needed while those that there are have work all the time", () => {
  const need = new DemandEstimator(12);
  const { now, peak: most } = seeFor(need, 12, { from: 0, to: 8_000 });
  assert.ok(now >= 20 && most >= 20, `${now}, ${most}`);
});

test("a burst that ends keeps its runners for the next one", () => {
  const need = new DemandEstimator(12);
  const { peak: most } = seeFor(need, 12, { from: 0, to: 9_000 });
  const after = seeFor(need, 2, { from: 9_000, to: 40_000 });
  assert.ok(after.now <= 6, `${after.now} now`);
  assert.equal(after.peak, most);
});

test("what was needed long ago is needed no more", () => {
  const need = new DemandEstimator(12);
  const { peak: most } = seeFor(need, 1, { from: 0, to: 1_200_000 });
  assert.ok(most <= 3, `${most}`);
});

test("a wave of some tenths does not change the number each time", () => {
  const need = new DemandEstimator(4);
  const seen = new Set<number>();
  for (let now = 0; now < 60_000; now += 200) {
    need.observe(6 + Math.sin(now / 1_000), now);
    if (now > 10_000) seen.add(need.estimate(now).now);
  }
  assert.ok(seen.size <= 2, [...seen].join());
});
