/**
 * Compression of large values in messages between daemons.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { constants, deflateRawSync, inflateRawSync } from "node:zlib";
import { decodeItem, encodeItem } from "@umbermast/coordination/codec";

/** Maximum size in bytes of an encoded value before compression. */
const MAX_BYTES = 32 * 1024 * 1024;

const compressed = new WeakMap<object, Buffer>();

/**
 * Compresses an immutable value, once for all peers that request it. Entries of
 * configurations and of runner lists differ in little but their names.
 * Uncompressed, they would saturate the link of a daemon that many others request
 * from at once: the last of them would get a new version seconds late, and
 * responses to callers would be delayed, too.
 *
 * @example
 * ```ts
 * const configuration = expandItem(compressItem(latest)) as Configuration;
 * ```
 */
export function compressItem(value: object): Buffer {
  const cached = compressed.get(value);
  if (cached !== undefined) return cached;
  const bytes = deflateRawSync(encodeItem(value), {
    level: constants.Z_BEST_SPEED,
  });
  compressed.set(value, bytes);
  return bytes;
}

/**
 * Decodes a value that {@linkcode compressItem} compressed.
 *
 * @throws {Error} when the bytes are anything else.
 */
export function expandItem(bytes: Uint8Array): unknown {
  const plain = inflateRawSync(bytes, { maxOutputLength: MAX_BYTES });
  const decoded = decodeItem(plain);
  if (decoded.isErr()) throw new Error(decoded.error.reason);
  return decoded.value;
}
