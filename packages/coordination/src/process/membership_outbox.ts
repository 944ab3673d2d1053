/**
 * Sending of probes, each filled with records up to its maximum size.
 *
 * @module
 */
import { encodeItem } from "./codec.ts";
import type { Digest } from "./digest.ts";
import type { Endpoint } from "./endpoint.ts";
import type { MemberTable } from "./membership_table.ts";
import { PROBE_OVERHEAD_BYTES } from "./membership_datagram.ts";
import type { ProbeCodec, ProbeKind } from "./membership_datagram.ts";
import { encodeRecord } from "./membership_record.ts";
import type { ProbeSettings } from "./membership_settings.ts";
import type { ProbeTransport } from "./membership_transport.ts";

/** Dependencies and settings of a {@linkcode ProbeOutbox}. */
export interface ProbeOutboxOptions {
  readonly table: MemberTable;
  readonly transport: ProbeTransport;
  readonly settings: ProbeSettings;
  readonly digest: Digest;
  readonly codec: ProbeCodec;
}

/** Contents of a probe other than records and digest. */
export interface ProbeParameters {
  readonly sequence?: number;
  readonly subject?: string;
  readonly wantsRecords?: boolean;
}

const MAX_DIGEST_BYTES = 128;

/**
 * Kinds of datagrams sent for an indirect probe. While a failure domain is
 * down, several of these are sent for each of many probes. If they carried as
 * much gossip as other datagrams, control traffic would exceed its bound;
 * pings, acks and gossip datagrams spread it as fast.
 * `INDIRECT_PROBE_RECORD_BYTES` leaves space for a record that the receiver has
 * to refute.
 */
const INDIRECT_PROBE_KINDS: readonly ProbeKind[] = ["ping-request", "nack"];
const INDIRECT_PROBE_RECORD_BYTES = 200;

/** Sends probes, each with the digest and as many records as fit. */
export class ProbeOutbox {
  readonly #options: ProbeOutboxOptions;

  constructor(options: ProbeOutboxOptions) {
    this.#options = options;
  }

  /**
   * Sends a probe to a member by name; does nothing if the member is unknown.
   */
  send(kind: ProbeKind, to: string, parameters: ProbeParameters): void {
    const record = this.#options.table.get(to);
    if (record === undefined) return;
    this.sendTo(record.member, { kind, to, ...parameters });
  }

  /** Sends a probe to an endpoint. */
  sendTo(
    endpoint: Endpoint,
    parameters: ProbeParameters & {
      readonly kind: ProbeKind;
      readonly to: string;
    },
  ): void {
    const { table, settings, transport, codec } = this.#options;
    const { kind, to, sequence = 0, subject = null } = parameters;
    const wantsRecords = parameters.wantsRecords ?? false;
    const sender = table.self;
    const digest = this.#digest();
    const used = PROBE_OVERHEAD_BYTES + digest.bytes + to.length +
      (subject?.length ?? 0) + encodeRecord(sender).length;
    const rotating = kind === "ack" && wantsRecords
      ? Number.POSITIVE_INFINITY
      : settings.rotatingRecords;
    const bytes = INDIRECT_PROBE_KINDS.includes(kind)
      ? INDIRECT_PROBE_RECORD_BYTES
      : settings.maxDatagramBytes - used;
    const records = table.recordsFor(to, { bytes, rotating });
    const datagram = codec.encode({
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
