/**
 * Encodes a frame: a 4-byte big-endian length and that many bytes.
 *
 * @module
 */
import { Buffer } from "node:buffer";

/** Size of the length prefix of each frame, in bytes. */
export const LENGTH_BYTES = 4;

/** Concatenates the parts of a frame and prepends their length. */
export function encodeFrame(parts: readonly Uint8Array[]): Buffer {
  let length = 0;
  for (const part of parts) length += part.length;
  const head = Buffer.allocUnsafe(LENGTH_BYTES);
  head.writeUInt32BE(length);
  return Buffer.concat([head, ...parts], LENGTH_BYTES + length);
}
