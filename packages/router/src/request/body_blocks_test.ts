import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { BodyBlocks } from "./body_blocks.ts";

// Guards against bytes that are lost or change their order between blocks.
test("a body has the bytes of its chunks, whatever their sizes", () => {
  const sizes = [5, 0, 1, 5_000, 3, 2_000, 1_023, 1, 70_000, 4_095, 4_096, 7];
  const blocks = new BodyBlocks();
  const chunks = sizes.map((size, index) => Buffer.alloc(size, index + 1));
  for (const chunk of chunks) blocks.add(chunk);
  assert.equal(blocks.length, sizes.reduce((sum, size) => sum + size, 0));
  assert.ok(blocks.join().equals(Buffer.concat(chunks)));
});

test("a body of one chunk is not copied", () => {
  const blocks = new BodyBlocks();
  const chunk = Buffer.from("body");
  blocks.add(chunk);
  assert.equal(blocks.join(), chunk);
});

// Guards against chunks of one byte that take hundreds of times their size.
test("a body in tiny chunks takes little more than its bytes", () => {
  const blocks = new BodyBlocks();
  const bytes = 100_000;
  for (let index = 0; index < bytes; index++) blocks.add(Buffer.from("x"));
  assert.ok(blocks.heldBytes < 2 * bytes, `${blocks.heldBytes}`);
  assert.ok(blocks.parts().length < 20);
});

test("a body that is given up takes nothing", () => {
  const blocks = new BodyBlocks();
  for (let index = 0; index < 100; index++) blocks.add(Buffer.alloc(100));
  blocks.clear();
  assert.equal(blocks.heldBytes, 0);
  assert.equal(blocks.join().length, 0);
});
