/**
 * Selection of records to send: a gossip queue and a round-robin of all
 * records.
 *
 * @module
 */
import { RECORD_OVERHEAD_BYTES } from "./membership_datagram.ts";
import type { MemberRecord } from "./membership_record.ts";
import { encodeRecord } from "./membership_record.ts";

interface QueuedRecord {
  readonly record: MemberRecord;
  sendCount: number;
}

/** Collects records up to a size in bytes. */
export class RecordBuffer {
  readonly #records = new Map<string, MemberRecord>();
  #remainingBytes: number;

  constructor(bytes: number) {
    this.#remainingBytes = bytes;
  }

  /**
   * Adds a record, unless one of the same member has been added.
   *
   * @returns false if the record is undefined or does not fit.
   */
  add(record: MemberRecord | undefined): boolean {
    if (record === undefined) return false;
    if (this.#records.has(record.member.name)) return true;
    const bytes = encodeRecord(record).length + RECORD_OVERHEAD_BYTES;
    if (bytes > this.#remainingBytes) return false;
    this.#remainingBytes -= bytes;
    this.#records.set(record.member.name, record);
    return true;
  }

  /** The records added so far. */
  records(): readonly MemberRecord[] {
    return [...this.#records.values()];
  }
}

/**
 * A queue of changed records, the least often sent first. Each is sent a bounded
 * number of times, which grows with the logarithm of the number of members:
 * that many transmissions reach all members by epidemic dissemination. Each
 * member therefore sends the same small number of datagrams for a change, whichever
 * member the change comes from.
 */
export class GossipQueue {
  readonly #queued = new Map<string, QueuedRecord>();

  /** Whether no record is queued. */
  get isEmpty(): boolean {
    return this.#queued.size === 0;
  }

  /** Queues a record, replacing an older one of the same member. */
  add(record: MemberRecord): void {
    this.#queued.set(record.member.name, { record, sendCount: 0 });
  }

  /**
   * Fills a buffer from the queue until a record does not fit. Records that have
   * been sent `limit` times leave the queue.
   */
  fill(buffer: RecordBuffer, limit: number): void {
    const queued = [...this.#queued.values()].sort((a, b) =>
      a.sendCount - b.sendCount
    );
    for (const item of queued) {
      if (!buffer.add(item.record)) return;
      item.sendCount += 1;
      if (item.sendCount >= limit) this.#queued.delete(item.record.member.name);
    }
  }
}

/** Cycles through all records, so that each is sent once per round. */
export class RecordRotation {
  readonly #records: ReadonlyMap<string, MemberRecord>;
  #names: string[] = [];

  constructor(records: ReadonlyMap<string, MemberRecord>) {
    this.#records = records;
  }

  /** The next record; undefined if there is none. */
  next(): MemberRecord | undefined {
    if (this.#names.length === 0) this.#names = [...this.#records.keys()];
    const name = this.#names.pop();
    return name === undefined ? undefined : this.#records.get(name);
  }
}
