import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import fc from "fast-check";
import { socketPair } from "../../tests/socket_fixture.ts";
import { encodeFrame, FrameReader } from "./frame.ts";

const LIMIT = 1024;

test("frames arrive complete and in order, however the stream is split", () =>
  fc.assert(
    fc.asyncProperty(
      fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 8 }),
      fc.integer({ min: 1, max: 50 }),
      (payloads, size) =>
        Effect.runPromise(Effect.scoped(Effect.gen(function* () {
          const { near, far } = yield* socketPair;
          const reader = new FrameReader(far, LIMIT);
          const frames = payloads.map((payload) => encodeFrame([payload]));
          const bytes = Buffer.concat(frames);
          for (let at = 0; at < bytes.length; at += size) {
            near.write(bytes.subarray(at, at + size));
          }
          for (const payload of payloads) {
            const frame = yield* reader.next();
            assert.deepEqual(new Uint8Array(frame), payload);
          }
        }))),
    ),
    { numRuns: 20 },
  ));

test("a length over the limit is rejected before the frame arrives", () =>
  // An unauthenticated client sends only four bytes, which announce a frame of
  // 4 GiB. The reader must fail on the length alone, without allocating or
  // waiting.
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { near, far } = yield* socketPair;
    const reader = new FrameReader(far, LIMIT);
    near.write(Buffer.alloc(4, 0xff));
    const failure = yield* Effect.flip(reader.next());
    assert.equal(failure.reason, "frame-too-large");
  }))));

test("the reader fails when the connection ends within a frame", () =>
  Effect.runPromise(Effect.scoped(Effect.gen(function* () {
    const { near, far } = yield* socketPair;
    const reader = new FrameReader(far, LIMIT);
    near.end(encodeFrame([Buffer.alloc(100)]).subarray(0, 50));
    const failure = yield* Effect.flip(reader.next());
    assert.equal(failure.reason, "ended");
  }))));
