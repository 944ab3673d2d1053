/**
 * CBOR encoding of messages on links and probes.
 *
 * @module
 */
import type { Buffer } from "node:buffer";
import { Decoder, Encoder } from "cbor-x";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

/** The bytes are not one CBOR item. */
export interface Malformed {
  readonly _tag: "Malformed";
  readonly reason: string;
}

// Plain CBOR maps, because with records a decoder would keep structures between
// items.
const OPTIONS = {
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
};

const encoder = new Encoder(OPTIONS);
const decoder = new Decoder(OPTIONS);

/** Encodes one value as one CBOR item. The caller owns the returned bytes. */
export function encodeItem(value: unknown): Buffer {
  return encoder.encode(value);
}

/** Decodes bytes that hold one CBOR item. */
export function decodeItem(bytes: Uint8Array): Result<unknown, Malformed> {
  try {
    return ok(decoder.decode(bytes));
  } catch (error) {
    return err({ _tag: "Malformed", reason: String(error) });
  }
}
