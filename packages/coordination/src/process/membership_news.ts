/**
 * Records that others may not know yet.
 *
 * @module
 */
import { RECORD_OVERHEAD_BYTES } from "./membership_datagram.ts";
import type { MemberRecord } from "./membership_record.ts";
import { encodeRecord } from "./membership_record.ts";

interface Item {
  readonly record: MemberRecord;
  sent: number;
}

/** A space of bytes that records are put into. */
export class RecordSpace {
  readonly #records = new Map<string, MemberRecord>();
  #bytes: number;

  constructor(bytes: number) {
    this.#bytes = bytes;
  }

  /** Puts a record in; false when it does not fit. */
  put(record: MemberRecord | undefined): boolean {
    if (record === undefined) return false;
    if (this.#records.has(record.member.name)) return true;
    const bytes = encodeRecord(record).length + RECORD_OVERHEAD_BYTES;
    if (bytes > this.#bytes) return false;
    this.#bytes -= bytes;
    this.#records.set(record.member.name, record);
    return true;
  }

  /** The records that were put in. */
  records(): readonly MemberRecord[] {
    return [...this.#records.values()];
  }
}

/**
 * News, each item sent a bounded number of times, the least sent first. The
 * number grows with the logarithm of the members' number, which is what it
 * takes for an epidemic to reach them all; so a change costs each member the
 * same few datagrams whoever makes it.
 */
export class News {
  readonly #items = new Map<string, Item>();

  /** Whether nothing waits to be sent. */
  get empty(): boolean {
    return this.#items.size === 0;
  }

  /** Adds a record, in place of an older one of the same member. */
  add(record: MemberRecord): void {
    this.#items.set(record.member.name, { record, sent: 0 });
  }

  /** Puts news into a datagram; items sent `limit` times are dropped. */
  fill(space: RecordSpace, limit: number): void {
    const items = [...this.#items.values()].sort((a, b) => a.sent - b.sent);
    for (const item of items) {
      if (!space.put(item.record)) return;
      item.sent += 1;
      if (item.sent >= limit) this.#items.delete(item.record.member.name);
    }
  }
}

/** Takes all records in turn, so that each is sent once in a round. */
export class Rotation {
  readonly #records: ReadonlyMap<string, MemberRecord>;
  #names: string[] = [];

  constructor(records: ReadonlyMap<string, MemberRecord>) {
    this.#records = records;
  }

  /** The next record; undefined when there is none. */
  next(): MemberRecord | undefined {
    if (this.#names.length === 0) this.#names = [...this.#records.keys()];
    const name = this.#names.pop();
    return name === undefined ? undefined : this.#records.get(name);
  }
}
