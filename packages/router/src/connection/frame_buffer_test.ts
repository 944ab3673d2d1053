import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { encodeFrame } from "@umbermast/coordination/frame_bytes";
import { FrameBuffer } from "./frame_buffer.ts";

const FRAME_BYTES = 8 * 1024 * 1024;

/** Pushes bytes in pieces, and returns the frames. */
function pushPieces(bytes: Buffer, pieceBytes: number): readonly Buffer[] {
  const buffer = new FrameBuffer();
  const frames: Buffer[] = [];
  for (let at = 0; at < bytes.length; at += pieceBytes) {
    const piece = bytes.subarray(at, at + pieceBytes);
    assert.equal(buffer.push(piece, (frame) => frames.push(frame) > 0), true);
  }
  return frames;
}

test("frames are split wherever their pieces end", () => {
  const contents = ["a", "", "bcd", "e".repeat(300)];
  const bytes = Buffer.concat(
    contents.map((content) => encodeFrame([Buffer.from(content)])),
  );
  for (const pieceBytes of [1, 2, 3, 5, 7, 64, 1_000]) {
    const frames = pushPieces(bytes, pieceBytes);
    assert.deepEqual(frames.map(String), contents);
  }
});

// Guards against a peer that takes the time and the memory of a daemon by a large
// message in small pieces: all pieces before were copied with each one.
test("a large frame in small pieces is copied once", () => {
  const bytes = encodeFrame([Buffer.alloc(FRAME_BYTES)]);
  const startedAt = process.cpuUsage();
  const [frame] = pushPieces(bytes, 500);
  const { user, system } = process.cpuUsage(startedAt);
  assert.equal(frame?.length, FRAME_BYTES);
  assert.ok(user + system < 2_000_000, `${user + system} microseconds`);
});

test("a frame that is too large is rejected by its length alone", () => {
  const buffer = new FrameBuffer();
  const head = Buffer.alloc(4);
  head.writeUInt32BE(FRAME_BYTES + 1);
  assert.equal(buffer.push(head, () => true), false);
});
