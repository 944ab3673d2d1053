import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { BlockQueue } from "./block_queue.ts";

// Guards against small events that each take a buffer of their own.
test("events come out in order, in about the memory that they need", () => {
  const queue = new BlockQueue();
  const events = Array.from(
    { length: 2_000 },
    (_, id) => Buffer.from(`id: ${id}\ndata: ${"x".repeat(id % 97)}\n\n`),
  );
  const large = Buffer.alloc(100_000, "y");
  const chunk = Buffer.from("chunk");
  for (const event of events) queue.push(event);
  queue.pushChunk(chunk);
  queue.push(large);
  const expected = Buffer.concat([...events, chunk, large]);
  assert.ok(queue.size <= expected.length + 32 * 1024, `${queue.size}`);
  const parts: Buffer[] = [];
  for (let part = queue.shift(); part; part = queue.shift()) parts.push(part);
  assert.ok(Buffer.concat(parts).equals(expected));
  assert.equal(queue.size, 0);
  assert.ok(parts.length < 12);
});

test("what is added between two removals is not lost", () => {
  const queue = new BlockQueue();
  queue.push(Buffer.from("a"));
  assert.equal(String(queue.shift()), "a");
  queue.push(Buffer.from("b"));
  queue.push(Buffer.from("c"));
  assert.equal(String(queue.shift()), "bc");
  assert.equal(queue.shift(), undefined);
  assert.equal(queue.size, 0);
});
