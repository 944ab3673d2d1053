/**
 * Cuts a stream of server-sent events into whole events.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const LF = 0x0a;
const CR = 0x0d;
const EMPTY = Buffer.alloc(0);

/** Index behind the blank line that ends the first event; -1 without one. */
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
 * Passes on only whole events, so that a runner that stops in the middle of one
 * leaves nothing half at the caller that a second runner would have to repeat.
 */
export class EventSplitter {
  #rest: Buffer = EMPTY;

  /** Whole events among the bytes so far, each with its blank line. */
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

  /** Whether part of an event is left over. */
  get pending(): boolean {
    return this.#rest.length > 0;
  }
}
