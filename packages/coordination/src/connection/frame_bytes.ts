/**
 * The bytes of one frame: a 4-byte big-endian length and that many bytes.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Bytes of the length before each frame. */
export const LENGTH_BYTES = 4;

/** Puts the length before the parts of one frame. */
export function encodeFrame(parts: readonly Uint8Array[]): Buffer {
  let length = 0;
  for (const part of parts) length += part.length;
  const head = Buffer.allocUnsafe(LENGTH_BYTES);
  head.writeUInt32BE(length);
  return Buffer.concat([head, ...parts], LENGTH_BYTES + length);
}
