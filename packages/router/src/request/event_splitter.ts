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
  let at = bytes.indexOf(LF, from);
  while (at !== -1) {
    const next = bytes[at + 1];
    if (next === LF) return at + 2;
    if (next === CR && bytes[at + 2] === LF) return at + 3;
    at = bytes.indexOf(LF, at + 1);
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
