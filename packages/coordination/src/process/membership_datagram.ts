/**
 * Probes as authenticated datagrams.
 *
 * A datagram is one version byte, a truncated HMAC-SHA256 and one CBOR item. Its
 * size and HMAC are checked before anything is decoded. A datagram that is
 * played back later does no harm: acks carry the number of a probe that waits
 * no more, and records are older than those known, or are contradicted by the
 * member itself.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { createHmac, hkdfSync, timingSafeEqual } from "node:crypto";
import { decodeItem, encodeItem } from "./codec.ts";
import type { MemberRecord } from "./membership_record.ts";
import { decodeRecord, encodeRecord } from "./membership_record.ts";

/** What a datagram is for. */
export type ProbeKind = "ping" | "ack" | "ping-request" | "nack" | "gossip";

/** One datagram between members. */
export interface Probe {
  readonly kind: ProbeKind;
  /** Number of the probe, which its ack or nack repeats. */
  readonly sequence: number;
  /** Name of the member that is meant; another at its address ignores it. */
  readonly to: string;
  /** The member to probe, in a ping request. */
  readonly subject: string | null;
  /** Whether the answer should hold as many records as fit. */
  readonly wantsRecords: boolean;
  readonly digest: unknown;
  /** The sender, as it believes itself to be. */
  readonly sender: MemberRecord;
  readonly records: readonly MemberRecord[];
}

/** Bytes of a datagram beside its records and names. */
export const PROBE_OVERHEAD_BYTES = 64;

/** Bytes that CBOR puts before each record. */
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

/** Seals and opens datagrams with the key that all members share. */
export class ProbeCodec {
  readonly #key: Uint8Array;
  readonly #maxBytes: number;

  constructor(key: Uint8Array, maxBytes: number) {
    // Another key than that of the links, so that no byte string made for one
    // of them can pass for the other.
    const derived = hkdfSync("sha256", key, "", "umbermast probes", KEY_BYTES);
    this.#key = Buffer.from(derived);
    this.#maxBytes = maxBytes;
  }

  /** Makes a datagram. */
  seal(probe: Probe): Buffer {
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

  /** Reads a datagram; undefined for one that is not authentic. */
  open(datagram: Uint8Array): Probe | undefined {
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
