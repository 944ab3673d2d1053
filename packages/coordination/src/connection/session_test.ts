import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { LENGTH_BYTES } from "./frame.ts";
import { Opener, Sealer } from "./session.ts";

const KEY = Buffer.alloc(32, 1);

function sealed(sealer: Sealer, text: string): Buffer {
  return sealer.seal(Buffer.from(text)).subarray(LENGTH_BYTES);
}

function opened(opener: Opener, frame: Uint8Array): string {
  return opener.open(frame).match(
    (payload) => Buffer.from(payload).toString(),
    (closed) => closed.reason,
  );
}

test("frames open in the order in which they were sealed", () => {
  const sealer = new Sealer(KEY);
  const opener = new Opener(KEY);
  assert.equal(opened(opener, sealed(sealer, "one")), "one");
  assert.equal(opened(opener, sealed(sealer, "two")), "two");
});

test("a frame that is played back is refused", () => {
  const opener = new Opener(KEY);
  const frame = sealed(new Sealer(KEY), "grant");
  assert.equal(opened(opener, frame), "grant");
  assert.equal(opened(opener, frame), "forged");
});

test("a frame after one that was dropped is refused", () => {
  const sealer = new Sealer(KEY);
  sealed(sealer, "dropped");
  assert.equal(opened(new Opener(KEY), sealed(sealer, "next")), "forged");
});

test("a frame that was changed is refused", () => {
  const frame = sealed(new Sealer(KEY), "grant");
  frame[frame.length - 1] = 0;
  assert.equal(opened(new Opener(KEY), frame), "forged");
});

test("a frame of another key, or too short for a tag, is refused", () => {
  const other = sealed(new Sealer(Buffer.alloc(32, 2)), "grant");
  assert.equal(opened(new Opener(KEY), other), "forged");
  assert.equal(opened(new Opener(KEY), Buffer.alloc(3)), "forged");
});
