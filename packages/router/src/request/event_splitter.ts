/**
 * Splits a stream into complete server-sent events.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const LF = 0x0a;
const CR = 0x0d;
const EMPTY = Buffer.alloc(0);

/** Returns the index after the blank line that ends the first event, or -1. */
function endOfEvent(bytes: Buffer, from: number): number {
  let index = bytes.indexOf(LF, from);
  while (index !== -1) {
    const next = bytes[index + 1];
    if (next === LF) return index + 2;
    if (next === CR && bytes[index + 2] === LF) return index + 3;
    index = bytes.indexOf(LF, index + 1);
  }
  return -1;
}

/**
 * Returns only complete events. When a runner stops in the middle of one, the
 * caller has no partial event that a second runner would have to repeat.
 */
export class EventSplitter {
  #rest: Buffer = EMPTY;

  /**
   * Adds a chunk and returns the events that it completes, with their blank
   * lines.
   */
  push(chunk: Buffer): readonly Buffer[] {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const events: Buffer[] = [];
    let start = 0;
    for (;;) {
      const end = endOfEvent(bytes, start);
      if (end === -1) break;
      events.push(bytes.subarray(start, end));
      start = end;
    }
    this.#rest = bytes.subarray(start);
    return events;
  }

  /** Whether a partial event is buffered. */
  get pending(): boolean {
    return this.#rest.length > 0;
  }
}
