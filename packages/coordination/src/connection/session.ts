/**
 * Authentication of the frames of one link.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { encodeFrame } from "./frame.ts";
import type { LinkClosed } from "./frame.ts";
import { linkClosed } from "./frame.ts";

/** Bytes of the truncated HMAC-SHA256 before each payload. */
export const TAG_BYTES = 16;

const SEQUENCE_BYTES = 8;

function computeTag(
  key: Uint8Array,
  sequence: bigint,
  payload: Uint8Array,
): Buffer {
  const counter = Buffer.allocUnsafe(SEQUENCE_BYTES);
  counter.writeBigUInt64BE(sequence);
  return createHmac("sha256", key)
    .update(counter)
    .update(payload)
    .digest()
    .subarray(0, TAG_BYTES);
}

/**
 * Seals the payloads that one end sends.
 *
 * The sequence number is part of what is authenticated and is not sent: both
 * ends count. A frame that something on the path repeats, drops, reorders or
 * injects therefore fails its check, and the link closes.
 */
export class Sealer {
  readonly #key: Uint8Array;
  #sequence = 0n;

  constructor(key: Uint8Array) {
    this.#key = key;
  }

  /** Makes the frame of one payload. */
  seal(payload: Uint8Array): Buffer {
    const tag = computeTag(this.#key, this.#sequence, payload);
    this.#sequence += 1n;
    return encodeFrame([tag, payload]);
  }
}

/** Checks the frames that the other end sealed. */
export class Opener {
  readonly #key: Uint8Array;
  #sequence = 0n;

  constructor(key: Uint8Array) {
    this.#key = key;
  }

  /** Returns the payload of an authentic frame. */
  open(frame: Uint8Array): Result<Uint8Array, LinkClosed> {
    if (frame.length < TAG_BYTES) return err(linkClosed("forged"));
    const payload = frame.subarray(TAG_BYTES);
    const tag = computeTag(this.#key, this.#sequence, payload);
    if (!timingSafeEqual(tag, frame.subarray(0, TAG_BYTES))) {
      return err(linkClosed("forged"));
    }
    this.#sequence += 1n;
    return ok(payload);
  }
}

/** What both ends agreed on when the link was made. */
export interface Session {
  /** Name of the other end. */
  readonly peer: string;
  /** Start of the other end. */
  readonly incarnation: number;
  /** Version of the link protocol that both speak. */
  readonly version: number;
  readonly sealer: Sealer;
  readonly opener: Opener;
}
