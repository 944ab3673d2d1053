/**
 * Splits a stream into complete server-sent events.
 *
 * @module
 */
import { Buffer } from "node:buffer";

const LF = 0x0a;
const CR = 0x0d;

/** What the bytes so far end with. */
type LineState =
  /** A part of a line. */
  | "line"
  /** The end of a line. */
  | "end"
  /** The end of a line and a carriage return. */
  | "return";

/**
 * Returns only complete events. When a runner stops in the middle of one, the
 * caller has no partial event that a second runner would have to repeat. Each byte
 * is looked at once, however many chunks an event comes in.
 */
export class EventSplitter {
  /** The partial event. */
  #chunks: Buffer[] = [];
  #size = 0;
  #state: LineState = "line";

  /**
   * Adds a chunk and returns the events that it completes, with their blank
   * lines.
   */
  push(chunk: Buffer): readonly Buffer[] {
    const events: Buffer[] = [];
    let start = 0;
    for (;;) {
      const end = this.#endOfEvent(chunk, start);
      if (end === -1) break;
      events.push(this.#complete(chunk.subarray(start, end)));
      start = end;
    }
    if (start < chunk.length) {
      this.#chunks.push(chunk.subarray(start));
      this.#size += chunk.length - start;
    }
    return events;
  }

  /** Size of the partial event. */
  get size(): number {
    return this.#size;
  }

  /** Whether a partial event is buffered. */
  get pending(): boolean {
    return this.#chunks.length > 0;
  }

  /** Returns the index after the blank line that ends the event, or -1. */
  #endOfEvent(chunk: Buffer, from: number): number {
    let index = from;
    while (index < chunk.length) {
      if (this.#state === "line") {
        const lineEnd = chunk.indexOf(LF, index);
        if (lineEnd === -1) return -1;
        this.#state = "end";
        index = lineEnd + 1;
        continue;
      }
      const byte = chunk[index]!;
      if (byte === LF) {
        this.#state = "line";
        return index + 1;
      }
      const returns = this.#state === "end" && byte === CR;
      this.#state = returns ? "return" : "line";
      index += 1;
    }
    return -1;
  }

  /** Returns the event that ends with these bytes. */
  #complete(last: Buffer): Buffer {
    if (this.#chunks.length === 0) return last;
    const event = Buffer.concat([...this.#chunks, last]);
    this.#chunks = [];
    this.#size = 0;
    return event;
  }
}
