import assert from "node:assert/strict";
import { test } from "node:test";
import { quoteValue } from "./value_quote.ts";

const DEPTH = 100_000;
/** 60 escaped characters, quotes and an ellipsis. */
const MAX_LENGTH = 60 * "\\u0000".length + 5;
const MAX_MS = 20;

function nested(open: string, close: string): unknown {
  return JSON.parse(open.repeat(DEPTH) + "0" + close.repeat(DEPTH));
}

test("values are quoted by type", () => {
  const quotes = [undefined, null, true, 1e400, NaN, "a\n", [1, 2], {}]
    .map(quoteValue);
  assert.deepEqual(quotes, [
    "nothing",
    "null",
    "true",
    "Infinity",
    "NaN",
    '"a\\n"',
    "a list of 2 items",
    "an object",
  ]);
});

// Guards against values that JSON.parse accepts but on which JSON.stringify throws,
// and against large values that take long to quote.
test("deep and large values are quoted in bounded time and length", () => {
  const values = [
    nested("[", "]"),
    nested('{"a":', "}"),
    "\u0000".repeat(1_000_000),
    Array.from({ length: 100_000 }, () => ({ a: [] })),
    Object.fromEntries(Array.from({ length: 100_000 }, (_, i) => [`k${i}`, i])),
    { ["k".repeat(1_000_000)]: 1 },
    2n ** 10_000n,
  ];
  for (const value of values) {
    const begin = performance.now();
    const quote = quoteValue(value);
    const ms = performance.now() - begin;
    assert.ok(ms < MAX_MS, `${ms} ms`);
    assert.ok(quote.length <= MAX_LENGTH, `${quote.length} characters`);
  }
});
