import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { EventScanner, MAX_EVENT_BYTES } from "./event_scanner.ts";

function token(text: string, finish: string | null = null): string {
  const choice = { delta: { content: text }, finish_reason: finish };
  return `data: ${JSON.stringify({ choices: [choice] })}\n\n`;
}

function scan(pieces: readonly string[]) {
  const scanner = new EventScanner();
  const passed = pieces.map((piece) =>
    scanner.scan(Buffer.from(piece)).toString("utf8")
  );
  return { scanner, passed };
}

test("returns events unchanged and counts them, however the bytes are split", () => {
  const stream = token("a") + ": note\n\n" +
    token("b").replaceAll("\n", "\r\n") +
    token("c", "stop") + "data: [DONE]\n\n";
  const whole = stream.slice(0, stream.indexOf("data: [DONE]"));
  fc.assert(fc.property(
    fc.array(fc.nat({ max: stream.length }), { maxLength: 12 }),
    (cuts) => {
      const points = [0, ...cuts.sort((a, b) => a - b), stream.length];
      const pieces = points.slice(1).map((end, i) =>
        stream.slice(points[i], end)
      );
      const { scanner, passed } = scan(pieces);
      assert.equal(passed.join(""), whole);
      assert.equal(scanner.tokens, 3);
      assert.equal(scanner.finished, true);
      assert.equal(scanner.done, true);
    },
  ));
});

test("never returns a partial event", () => {
  const { scanner, passed } = scan([token("a") + token("b").slice(0, 10)]);
  assert.deepEqual(passed, [token("a")]);
  assert.equal(scanner.tokens, 1);
});

test("never returns [DONE], with or without a space", () => {
  for (const mark of ["data: [DONE]\n\n", "data:[DONE]\n\n"]) {
    const { scanner, passed } = scan([token("a", "stop") + mark + "junk"]);
    assert.deepEqual(passed, [token("a", "stop")]);
    assert.equal(scanner.done, true);
  }
});

test("a finish reason inside generated text does not finish the response", () => {
  const { scanner } = scan([token('"finish_reason":"stop"')]);
  assert.equal(scanner.finished, false);
});

test("an error event is not returned and marks the stream as failed", () => {
  const { scanner, passed } = scan([
    token("a") + 'data: {"error":{"message":"out of memory"}}\n\n',
  ]);
  assert.deepEqual(passed, [token("a")]);
  assert.equal(scanner.failed, true);
});

test("an incomplete event longer than the limit marks the stream as oversized", () => {
  const scanner = new EventScanner();
  scanner.scan(Buffer.alloc(MAX_EVENT_BYTES + 1, 0x61));
  assert.equal(scanner.oversized, true);
});
