/**
 * Authenticates the frames of one link.
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

/** Size of the truncated HMAC-SHA256 tag before each payload, in bytes. */
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
 * Adds an authentication tag to each outgoing payload.
 *
 * The tag covers a sequence number that is not sent, since both ends count the
 * frames. If a frame is repeated, dropped, reordered or injected on the path,
 * the check therefore fails and the link closes.
 */
export class FrameSigner {
  readonly #key: Uint8Array;
  #sequence = 0n;

  constructor(key: Uint8Array) {
    this.#key = key;
  }

  /** Encodes the frame of a payload and its tag. */
  sign(payload: Uint8Array): Buffer {
    const tag = computeTag(this.#key, this.#sequence, payload);
    this.#sequence += 1n;
    return encodeFrame([tag, payload]);
  }
}

/** Checks the tags of incoming frames. */
export class FrameVerifier {
  readonly #key: Uint8Array;
  #sequence = 0n;

  constructor(key: Uint8Array) {
    this.#key = key;
  }

  /** Returns the payload of a frame, or `forged` if its tag is wrong. */
  verify(frame: Uint8Array): Result<Uint8Array, LinkClosed> {
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

/** The result of a handshake. */
export interface Session {
  /** Name of the peer. */
  readonly peer: string;
  /** Incarnation of the peer, which identifies one start of its process. */
  readonly incarnation: number;
  /** Version of the link protocol that both ends support. */
  readonly version: number;
  readonly signer: FrameSigner;
  readonly verifier: FrameVerifier;
}
