import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import fc from "fast-check";
import { decodeItem, encodeItem } from "@umbermast/coordination/codec";
import { testUpdate } from "../../tests/fixtures.ts";
import { expandItem } from "./compressed_item.ts";
import { packMessage, unpackMessage } from "./peer_encoding.ts";
import type { PeerMessage } from "./peer_message.ts";
import { decodeTunnelMessage } from "./tunnel_message.ts";

const PROPERTY_OPTIONS = { numRuns: 3_000, seed: 66 };
const MAX_DECODE_MS = 500;

const MESSAGES: readonly PeerMessage[] = [
  testUpdate(),
  { kind: "want", configuration: true, runnersSince: 5, parts: true },
  { kind: "subscribe", scope: "fleet" },
];

/** Frames with a few bytes replaced. */
const DAMAGED = fc.tuple(
  fc.constantFrom(...MESSAGES).map((message) =>
    encodeItem(packMessage(message))
  ),
  fc.array(fc.tuple(fc.nat(), fc.nat(255)), { maxLength: 6 }),
).map(([frame, changes]) => {
  const damaged = Buffer.from(frame);
  for (const [at, byte] of changes) damaged[at % damaged.length] = byte;
  return damaged;
});

/** CBOR of lists within lists, and of lists that state far more items. */
const EXTREME = fc.oneof(
  fc.integer({ min: 1, max: 100_000 }).map((depth) =>
    Buffer.alloc(depth, 0x81)
  ),
  fc.integer({ min: 0, max: 0xffff_ffff }).map((length) => {
    const frame = Buffer.from([0x9a, 0, 0, 0, 0, 1]);
    frame.writeUInt32BE(length, 1);
    return frame;
  }),
);

const FRAME = fc.oneof(
  fc.uint8Array({ maxLength: 300 }).map((bytes) => Buffer.from(bytes)),
  DAMAGED,
  EXTREME,
  fc.jsonValue().map((value) => encodeItem(value)),
);

/** Calls a decoder; what it throws is an error, and it does not take long. */
function attempt(decode: () => unknown): void {
  const begin = performance.now();
  try {
    decode();
  } catch (error) {
    assert.ok(error instanceof Error);
    assert.equal(typeof String(error), "string");
  }
  const ms = performance.now() - begin;
  assert.ok(ms < MAX_DECODE_MS, `${ms} ms`);
}

// Guards against bytes of a peer that end the process, stop it for a time, or leave the
// decoder in a state in which it misreads what follows.
test("arbitrary frames are decoded or rejected", () => {
  const sound = encodeItem(packMessage(MESSAGES[1]!));
  fc.assert(
    fc.property(FRAME, (frame) => {
      attempt(() => {
        const decoded = decodeItem(frame);
        if (decoded.isOk()) unpackMessage(decoded.value);
      });
      attempt(() => decodeTunnelMessage(frame));
      attempt(() => expandItem(frame));
      const next = decodeItem(sound)._unsafeUnwrap();
      assert.deepEqual(unpackMessage(next), MESSAGES[1]);
    }),
    PROPERTY_OPTIONS,
  );
});
