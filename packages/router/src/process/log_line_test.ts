import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { formatLine } from "./log_line.ts";

/** Parses a line into its pairs, as a reader of the log does. */
function pairsOf(line: string): readonly (readonly [string, string])[] {
  const pairs: [string, string][] = [];
  const pair = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|[^ "]*)(?: |$)/gy;
  for (let match = pair.exec(line); match; match = pair.exec(line)) {
    const [, key = "", value = ""] = match;
    pairs.push([key, value.startsWith('"') ? JSON.parse(value) : value]);
  }
  return pairs;
}

test("an event is one line of pairs that starts with its name", () => {
  const line = formatLine("request_ended", {
    requestId: "7",
    durationMs: 12,
    whole: true,
    code: undefined,
  });
  assert.equal(
    line,
    "event=request_ended requestId=7 durationMs=12 whole=true",
  );
});

// Guards against log injection. Log lines contain text of callers, such as the name
// of an unknown class. If it could contain a line break or a pair, a caller could
// forge events, and operators would act on them.
test("untrusted text can add neither lines nor pairs", () => {
  const forged = "x\nevent=listening callers=evil\r\u2028 outcome=complete";
  const line = formatLine("request_refused", { class: forged, status: 400 });
  assert.match(line, /^[\x20-\x7e]*$/);
  assert.deepEqual(pairsOf(line), [
    ["event", "request_refused"],
    ["class", forged],
    ["status", "400"],
  ]);
});

test("any text is parsed back as one value of one printable line", () => {
  const text = fc.string({ unit: "binary", maxLength: 100 });
  fc.assert(fc.property(text, (value) => {
    const line = formatLine("event", { value, after: 1 });
    assert.match(line, /^[\x20-\x7e]*$/);
    assert.deepEqual(pairsOf(line).slice(1), [["value", value], [
      "after",
      "1",
    ]]);
  }));
});

test("long text is truncated", () => {
  const line = formatLine("event", { value: "x".repeat(100_000) });
  assert.ok(line.length < 600);
});
