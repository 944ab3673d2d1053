/**
 * Sending of probes, each with as many records as its size allows.
 *
 * @module
 */
import { encodeItem } from "./codec.ts";
import type { Digest } from "./digest.ts";
import type { Endpoint } from "./endpoint.ts";
import type { MemberBook } from "./membership_book.ts";
import { PROBE_OVERHEAD_BYTES } from "./membership_datagram.ts";
import type { ProbeCodec, ProbeKind } from "./membership_datagram.ts";
import { encodeRecord } from "./membership_record.ts";
import type { ProbeSettings } from "./membership_settings.ts";
import type { ProbeTransport } from "./membership_transport.ts";

/** What the outbox needs. */
export interface ProbeOutboxOptions {
  readonly book: MemberBook;
  readonly transport: ProbeTransport;
  readonly settings: ProbeSettings;
  readonly digest: Digest;
  readonly codec: ProbeCodec;
}

/** What a probe says beside records and digest. */
export interface ProbeSubject {
  readonly sequence?: number;
  readonly subject?: string;
  readonly wantsRecords?: boolean;
}

const MAX_DIGEST_BYTES = 128;

/**
 * Datagrams on behalf of a probe that failed. While a failure domain is gone
 * there are several for each of many probes, and were they filled with news too
 * they would take the control traffic over its bound; pings, acks and gossip
 * spread it as fast. There is room for what the receiver has to contradict.
 */
const ERRANDS: readonly ProbeKind[] = ["ping-request", "nack"];
const ERRAND_RECORD_BYTES = 200;

/** Sends probes, each with the digest and as much news as still fits. */
export class ProbeOutbox {
  readonly #options: ProbeOutboxOptions;

  constructor(options: ProbeOutboxOptions) {
    this.#options = options;
  }

  /** Sends a probe to a member by name; none to a member never heard of. */
  send(kind: ProbeKind, to: string, about: ProbeSubject): void {
    const record = this.#options.book.record(to);
    if (record === undefined) return;
    this.sendTo(record.member, { kind, to, ...about });
  }

  /** Sends a probe to where a member is known to listen. */
  sendTo(
    endpoint: Endpoint,
    about: ProbeSubject & { readonly kind: ProbeKind; readonly to: string },
  ): void {
    const { book, settings, transport, codec } = this.#options;
    const { kind, to, sequence = 0, subject = null } = about;
    const wantsRecords = about.wantsRecords ?? false;
    const sender = book.self;
    const digest = this.#digest();
    const used = PROBE_OVERHEAD_BYTES + digest.bytes + to.length +
      (subject?.length ?? 0) + encodeRecord(sender).length;
    const rotating = kind === "ack" && wantsRecords
      ? Number.POSITIVE_INFINITY
      : settings.rotatingRecords;
    const bytes = ERRANDS.includes(kind)
      ? ERRAND_RECORD_BYTES
      : settings.maxDatagramBytes - used;
    const records = book.recordsFor(to, { bytes, rotating });
    const datagram = codec.seal({
      kind,
      sequence,
      to,
      subject,
      wantsRecords,
      digest: digest.value,
      sender,
      records,
    });
    transport.send(datagram, endpoint);
  }

  #digest(): { readonly value: unknown; readonly bytes: number } {
    const value = this.#options.digest.read();
    const bytes = encodeItem(value).length;
    return bytes > MAX_DIGEST_BYTES
      ? { value: null, bytes: 1 }
      : { value, bytes };
  }
}
