import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { LENGTH_BYTES } from "./frame.ts";
import { Opener, Sealer } from "./session.ts";

const KEY = Buffer.alloc(32, 1);

function seal(sealer: Sealer, text: string): Buffer {
  return sealer.seal(Buffer.from(text)).subarray(LENGTH_BYTES);
}

function open(opener: Opener, frame: Uint8Array): string {
  return opener.open(frame).match(
    (payload) => Buffer.from(payload).toString(),
    (closed) => closed.reason,
  );
}

test("frames are accepted in the order in which they were sealed", () => {
  const sealer = new Sealer(KEY);
  const opener = new Opener(KEY);
  assert.equal(open(opener, seal(sealer, "one")), "one");
  assert.equal(open(opener, seal(sealer, "two")), "two");
});

test("a replayed frame is rejected", () => {
  const opener = new Opener(KEY);
  const frame = seal(new Sealer(KEY), "grant");
  assert.equal(open(opener, frame), "grant");
  assert.equal(open(opener, frame), "forged");
});

test("the frame after a dropped one is rejected", () => {
  const sealer = new Sealer(KEY);
  seal(sealer, "dropped");
  assert.equal(open(new Opener(KEY), seal(sealer, "next")), "forged");
});

test("a modified frame is rejected", () => {
  const frame = seal(new Sealer(KEY), "grant");
  frame[frame.length - 1] = 0;
  assert.equal(open(new Opener(KEY), frame), "forged");
});

test("a frame sealed with another key, or too short for a tag, is rejected", () => {
  const other = seal(new Sealer(Buffer.alloc(32, 2)), "grant");
  assert.equal(open(new Opener(KEY), other), "forged");
  assert.equal(open(new Opener(KEY), Buffer.alloc(3)), "forged");
});
