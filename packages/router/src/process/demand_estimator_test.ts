import assert from "node:assert/strict";
import { test } from "node:test";
import { DemandEstimator } from "./demand_estimator.ts";

/** Observes a constant load over a span; returns the estimate at its end. */
function observeFor(need: DemandEstimator, busy: number, span: {
  readonly from: number;
  readonly to: number;
}) {
  for (let now = span.from; now < span.to; now += 200) need.observe(busy, now);
  return need.estimate(span.to);
}

test("before any observation, the initial number is needed", () => {
  const estimator = new DemandEstimator(12);
  assert.deepEqual(estimator.estimate(1_000), { now: 0, peak: 12 });
});

test("more runners are needed while the existing ones are fully busy", () => {
  const estimator = new DemandEstimator(12);
  const { now, peak } = observeFor(estimator, 12, { from: 0, to: 8_000 });
  assert.ok(now >= 20 && peak >= 20, `${now}, ${peak}`);
});

test("the peak of a burst is held after its end", () => {
  const estimator = new DemandEstimator(12);
  const { peak } = observeFor(estimator, 12, { from: 0, to: 9_000 });
  const after = observeFor(estimator, 2, { from: 9_000, to: 40_000 });
  assert.ok(after.now <= 6, `${after.now} now`);
  assert.equal(after.peak, peak);
});

test("an old peak decays", () => {
  const estimator = new DemandEstimator(12);
  const { peak } = observeFor(estimator, 1, { from: 0, to: 1_200_000 });
  assert.ok(peak <= 3, `${peak}`);
});

test("small oscillations of the load do not change the number each time", () => {
  const estimator = new DemandEstimator(4);
  const seen = new Set<number>();
  for (let now = 0; now < 60_000; now += 200) {
    estimator.observe(6 + Math.sin(now / 1_000), now);
    if (now > 10_000) seen.add(estimator.estimate(now).now);
  }
  assert.ok(seen.size <= 2, [...seen].join());
});
