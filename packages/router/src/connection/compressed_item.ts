/**
 * Large values on their way between daemons, compressed.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { constants, deflateRawSync, inflateRawSync } from "node:zlib";
import { decodeItem, encodeItem } from "@umbermast/coordination/codec";

/** Bytes of the largest value, expanded. */
const MAX_BYTES = 32 * 1024 * 1024;

const compressed = new WeakMap<object, Buffer>();

/**
 * Compresses a value that does not change any more, once for all peers that ask
 * for it. Entries of configurations and of lists of runners differ in little but
 * their names. Plain, they fill the link of a daemon that many ask at once, and
 * the last of them has a new version seconds late; answers to callers wait, too.
 *
 * @example
 * ```ts
 * const configuration = expandItem(compressItem(latest)) as Configuration;
 * ```
 */
export function compressItem(value: object): Buffer {
  const known = compressed.get(value);
  if (known !== undefined) return known;
  const bytes = deflateRawSync(encodeItem(value), {
    level: constants.Z_BEST_SPEED,
  });
  compressed.set(value, bytes);
  return bytes;
}

/**
 * Reads what {@linkcode compressItem} compressed.
 *
 * @throws {Error} when the bytes are something else.
 */
export function expandItem(bytes: Uint8Array): unknown {
  const plain = inflateRawSync(bytes, { maxOutputLength: MAX_BYTES });
  const decoded = decodeItem(plain);
  if (decoded.isErr()) throw new Error(decoded.error.reason);
  return decoded.value;
}
