import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { rowOf } from "../../../tests/scheduling/table_fixture.ts";
import { RowLimits } from "./row_limits.ts";

const SECOND_MS = 1_000;

test("starts no more requests than the rate and one second's burst allow", () => {
  const gaps = fc.array(fc.nat({ max: 400 }), { maxLength: 200 });
  const rates = fc.integer({ min: 1, max: 20 });
  fc.assert(
    fc.property(rates, gaps, (requestsPerSecond, waits) => {
      const limits = new RowLimits();
      const row = rowOf({ requestsPerSecond });
      let now = 0;
      let started = 0;
      for (const wait of waits) {
        now += wait;
        if (!limits.admits(row, now)) continue;
        limits.start(row, { cost: 1, now });
        started += 1;
        const allowed = requestsPerSecond * (1 + now / SECOND_MS);
        assert.ok(started <= allowed + 1e-6, `${started} by ${now} ms`);
      }
    }),
    { seed: 1 },
  );
});

test("charges the excess of the actual cost over the estimate", () => {
  const limits = new RowLimits();
  const row = rowOf({ tokensPerSecond: 100 });
  limits.start(row, { cost: 10, now: 0 });
  limits.end(row, 290);
  assert.equal(limits.admits(row, 1_990), false);
  assert.equal(limits.admits(row, 2_010), true);
});

test("applies a lower limit to requests already in flight", () => {
  const limits = new RowLimits();
  const wide = rowOf({ inFlight: 5 });
  for (let i = 0; i < 3; i++) limits.start(wide, { cost: 1, now: 0 });
  const narrow = rowOf({ inFlight: 2 });
  assert.equal(limits.admits(narrow, 0), false);
  for (let i = 0; i < 2; i++) limits.end(narrow, 0);
  assert.equal(limits.admits(narrow, 0), true);
});
