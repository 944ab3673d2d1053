import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { LENGTH_BYTES } from "./frame.ts";
import { FrameSigner, FrameVerifier } from "./session.ts";

const KEY = Buffer.alloc(32, 1);

function sign(signer: FrameSigner, text: string): Buffer {
  return signer.sign(Buffer.from(text)).subarray(LENGTH_BYTES);
}

function verify(verifier: FrameVerifier, frame: Uint8Array): string {
  return verifier.verify(frame).match(
    (payload) => Buffer.from(payload).toString(),
    (closed) => closed.reason,
  );
}

test("frames are accepted in the order in which they were signed", () => {
  const signer = new FrameSigner(KEY);
  const verifier = new FrameVerifier(KEY);
  assert.equal(verify(verifier, sign(signer, "one")), "one");
  assert.equal(verify(verifier, sign(signer, "two")), "two");
});

test("a replayed frame is rejected", () => {
  const verifier = new FrameVerifier(KEY);
  const frame = sign(new FrameSigner(KEY), "grant");
  assert.equal(verify(verifier, frame), "grant");
  assert.equal(verify(verifier, frame), "forged");
});

test("the frame after a dropped one is rejected", () => {
  const signer = new FrameSigner(KEY);
  sign(signer, "dropped");
  assert.equal(verify(new FrameVerifier(KEY), sign(signer, "next")), "forged");
});

test("a modified frame is rejected", () => {
  const frame = sign(new FrameSigner(KEY), "grant");
  frame[frame.length - 1] = 0;
  assert.equal(verify(new FrameVerifier(KEY), frame), "forged");
});

test("a frame signed with another key, or too short for a tag, is rejected", () => {
  const other = sign(new FrameSigner(Buffer.alloc(32, 2)), "grant");
  assert.equal(verify(new FrameVerifier(KEY), other), "forged");
  assert.equal(verify(new FrameVerifier(KEY), Buffer.alloc(3)), "forged");
});
