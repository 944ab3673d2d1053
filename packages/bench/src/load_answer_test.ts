import assert from "node:assert/strict";
import { test } from "node:test";
import { EventReader, readWhole } from "./load_answer.ts";

const TOKENS = 4;

function event(token: number, last = false): string {
  const body = {
    choices: [{
      delta: { content: `r1:${token} ` },
      finish_reason: last ? "stop" : null,
    }],
    ...(last ? { usage: { completion_tokens: TOKENS } } : {}),
  };
  return `data: ${JSON.stringify(body)}\n\n`;
}

function read(events: readonly string[]): EventReader {
  const reader = new EventReader("r1");
  events.forEach((each, at) => reader.push(each, at * 10));
  return reader;
}

const WHOLE = [
  event(0),
  event(1),
  event(2),
  event(3, true),
  "data: [DONE]\n\n",
];

test("a whole stream is whole however its bytes are cut", () => {
  const bytes = WHOLE.join("");
  for (let size = 1; size < bytes.length; size += 7) {
    const pieces: string[] = [];
    for (let i = 0; i < bytes.length; i += size) {
      pieces.push(bytes.slice(i, i + size));
    }
    const reader = read(pieces);
    assert.equal(reader.whole, true);
    assert.equal(reader.tokens, TOKENS);
    assert.equal(reader.foreign, false);
  }
});

test("first token and gaps are those of the events", () => {
  const reader = read(WHOLE);
  assert.equal(reader.firstAt, 0);
  assert.deepEqual(reader.gaps, { longestMs: 10, meanMs: 10 });
});

test("a stream without its end, or with a token lost or doubled, is not whole", () => {
  assert.equal(read(WHOLE.slice(0, -1)).whole, false);
  assert.equal(read(WHOLE.toSpliced(1, 1)).whole, false);
  assert.equal(read(WHOLE.toSpliced(1, 0, event(1))).whole, false);
  assert.equal(read(WHOLE.toSpliced(3, 1)).whole, false);
});

test("an error event is seen, and the stream is not whole", () => {
  const failed = read([event(0), 'data: {"error":{"code":"x"}}\n\n']);
  assert.equal(failed.failed, true);
  assert.equal(failed.whole, false);
});

test("a token of another request is foreign", () => {
  const other = event(1).replace("r1:1", "r2:1");
  assert.equal(read(WHOLE.toSpliced(1, 1, other)).foreign, true);
});

test("a whole body shows whose answer it is and whether it is whole", () => {
  const body = (content: string) =>
    JSON.stringify({
      choices: [{ message: { content } }],
      usage: { completion_tokens: 2 },
    });
  assert.deepEqual(readWhole(body("r1:0 r1:1 "), "r1"), {
    tokens: 2,
    whole: true,
    foreign: false,
  });
  assert.equal(readWhole(body("r1:0 "), "r1").whole, false);
  assert.equal(readWhole(body("r2:0 r2:1 "), "r1").foreign, true);
  assert.equal(readWhole('{"requestId":"r2"}', "r1").foreign, true);
  assert.equal(readWhole('{"requestId":"r1"', "r1").whole, false);
});
