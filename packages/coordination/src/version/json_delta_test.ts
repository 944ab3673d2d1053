import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { applyDelta, DeltaMismatch, makeDelta } from "./json_delta.ts";
import type { Json } from "./json_delta.ts";

const json = fc.jsonValue({ maxDepth: 4 }) as fc.Arbitrary<Json>;

/** Encodes a value as JSON and decodes it, since JSON has no -0. */
function roundTrip<T>(value: T): T {
  return JSON.parse(JSON.stringify(value)) as T;
}

test("a delta changes the earlier value into the later one", () => {
  fc.assert(
    fc.property(json, json, (a, b) => {
      const [from, to] = [roundTrip(a), roundTrip(b)];
      const delta = roundTrip(makeDelta(from, to));
      assert.deepEqual(applyDelta(from, delta), to);
    }),
    { seed: 1, numRuns: 2_000 },
  );
});

test("the delta of a list with one changed item holds only that item", () => {
  const rows = Array.from(
    { length: 500 },
    (_, index) => ({ index, weight: 1 }),
  );
  const changed = rows.map((row) =>
    row.index === 7 ? { ...row, weight: 2 } : row
  );
  const delta = makeDelta({ rows, title: "t" }, { rows: changed, title: "t" });
  // All 500 items together are longer than 10,000 characters.
  assert.ok(JSON.stringify(delta).length < 200, JSON.stringify(delta));
});

test("a delta of a longer list is rejected", () => {
  const delta = makeDelta([1, 2, 3], [1, 9, 3]);
  assert.throws(() => applyDelta([1], delta), DeltaMismatch);
});
