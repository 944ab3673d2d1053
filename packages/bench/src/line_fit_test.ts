import assert from "node:assert/strict";
import { test } from "node:test";
import { fitLine } from "./line_fit.ts";

const NEAR = 1e-9;
test("points on a line give that line", () => {
  const line = fitLine([1, 4, 9, 30].map((x) => ({ x, y: 2.5 * x + 7 })));
  assert.ok(Math.abs(line.slope - 2.5) < NEAR);
  assert.ok(Math.abs(line.intercept - 7) < NEAR);
  assert.ok(Math.abs(line.r2 - 1) < NEAR);
});

test("scatter lowers r2 and leaves the slope of a known example", () => {
  // Anscombe's first set: slope 0.500, intercept 3.00, r2 0.667.
  const xs = [10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5];
  const ys = [
    8.04,
    6.95,
    7.58,
    8.81,
    8.33,
    9.96,
    7.24,
    4.26,
    10.84,
    4.82,
    5.68,
  ];
  const line = fitLine(xs.map((x, i) => ({ x, y: ys[i] ?? NaN })));
  assert.equal(line.slope.toFixed(3), "0.500");
  assert.equal(line.intercept.toFixed(2), "3.00");
  assert.equal(line.r2.toFixed(3), "0.667");
});

test("a flat quantity has slope 0", () => {
  const line = fitLine([{ x: 1, y: 5 }, { x: 2, y: 5 }, { x: 3, y: 5 }]);
  assert.equal(line.slope, 0);
  assert.equal(line.intercept, 5);
});

test("points of one x are refused", () => {
  assert.throws(() => fitLine([{ x: 2, y: 1 }, { x: 2, y: 3 }]), RangeError);
  assert.throws(() => fitLine([]), RangeError);
});
