/**
 * Encoding of probes as authenticated datagrams.
 *
 * A datagram is one version byte, a truncated HMAC-SHA256 and one CBOR item.
 * Its size and HMAC are checked before anything is decoded. A replayed datagram
 * is harmless: its ack carries the sequence number of a probe that is no longer
 * pending, and its records are older than the known ones or are refuted by the
 * member itself.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHmac, hkdfSync, timingSafeEqual } from "node:crypto";
import { decodeItem, encodeItem } from "./codec.ts";
import type { MemberRecord } from "./membership_record.ts";
import { decodeRecord, encodeRecord } from "./membership_record.ts";

/** Kind of a datagram. */
export type ProbeKind = "ping" | "ack" | "ping-request" | "nack" | "gossip";

/** One datagram between members. */
export interface Probe {
  readonly kind: ProbeKind;
  /** Sequence number of the probe, repeated in its ack or nack. */
  readonly sequence: number;
  /**
   * Name of the receiver; another member at its address ignores the datagram.
   */
  readonly to: string;
  /** Name of the member to probe, in a ping request. */
  readonly subject: string | null;
  /** Whether the ack should hold as many records as fit. */
  readonly wantsRecords: boolean;
  readonly digest: unknown;
  /** The sender's record of itself. */
  readonly sender: MemberRecord;
  readonly records: readonly MemberRecord[];
}

/** Bytes of a datagram in addition to its records and names. */
export const PROBE_OVERHEAD_BYTES = 64;

/** Bytes of the CBOR header of each record. */
export const RECORD_OVERHEAD_BYTES = 3;

const VERSION = 1;
const VERSION_BYTES = 1;
const TAG_BYTES = 16;
const HEAD_BYTES = VERSION_BYTES + TAG_BYTES;
const KEY_BYTES = 32;
const MAX_RECORDS = 256;
const KINDS: readonly ProbeKind[] = [
  "ping",
  "ack",
  "ping-request",
  "nack",
  "gossip",
];

/** Encodes and authenticates datagrams with the key shared by all members. */
export class ProbeCodec {
  readonly #key: Uint8Array;
  readonly #maxBytes: number;

  constructor(key: Uint8Array, maxBytes: number) {
    // Derived separately from the key of the links, so that a byte string
    // authenticated for one protocol is not valid in the other.
    const derived = hkdfSync("sha256", key, "", "umbermast probes", KEY_BYTES);
    this.#key = Buffer.from(derived);
    this.#maxBytes = maxBytes;
  }

  /** Encodes a probe as an authenticated datagram. */
  encode(probe: Probe): Buffer {
    const payload = encodeItem([
      KINDS.indexOf(probe.kind),
      probe.sequence,
      probe.to,
      probe.subject,
      probe.wantsRecords,
      probe.digest,
      encodeRecord(probe.sender),
      probe.records.map(encodeRecord),
    ]);
    return Buffer.concat([
      Buffer.of(VERSION),
      this.#tag(payload),
      payload,
    ]);
  }

  /** Decodes a datagram; undefined if it is not authentic or is malformed. */
  decode(datagram: Uint8Array): Probe | undefined {
    if (datagram.length > this.#maxBytes) return undefined;
    if (datagram.length <= HEAD_BYTES) return undefined;
    if (datagram[0] !== VERSION) return undefined;
    const payload = datagram.subarray(HEAD_BYTES);
    const tag = datagram.subarray(VERSION_BYTES, HEAD_BYTES);
    if (!timingSafeEqual(tag, this.#tag(payload))) return undefined;
    const decoded = decodeItem(payload);
    if (decoded.isErr() || !Array.isArray(decoded.value)) return undefined;
    return parse(decoded.value);
  }

  #tag(payload: Uint8Array): Buffer {
    return createHmac("sha256", this.#key)
      .update(Buffer.of(VERSION))
      .update(payload)
      .digest()
      .subarray(0, TAG_BYTES);
  }
}

function parse(item: readonly unknown[]): Probe | undefined {
  const [kindCode, sequence, to, subject, wantsRecords, digest] = item;
  const kind = KINDS[Number(kindCode)];
  const sender = decodeRecord(item[6]);
  const records = item[7];
  if (kind === undefined || sender === undefined) return undefined;
  if (!Number.isSafeInteger(sequence) || typeof to !== "string") {
    return undefined;
  }
  if (!Array.isArray(records) || records.length > MAX_RECORDS) return undefined;
  return {
    kind,
    sequence: Number(sequence),
    to,
    subject: typeof subject === "string" ? subject : null,
    wantsRecords: wantsRecords === true,
    digest,
    sender,
    records: records
      .map(decodeRecord)
      .filter((record) => record !== undefined),
  };
}
