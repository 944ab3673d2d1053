/**
 * Finds the boundaries of server-sent events in a streamed response.
 *
 * @module
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SMALL_D = 0x64;
const QUOTE = 0x22;
const SPACE = 0x20;
const COLON = 0x3a;
const FINISH_KEY = Buffer.from('"finish_reason"');
const DONE_MARK = "[DONE]";
const ERROR_MARK = '{"error"';
const DATA_PREFIX = "data:";
const EMPTY = Buffer.alloc(0);

/**
 * Longest incomplete event that is buffered, in bytes. A stream with a longer
 * event fails, so that it cannot exhaust the daemon's memory.
 */
export const MAX_EVENT_BYTES = 1_048_576;

/**
 * Splits a stream into complete events at empty lines. It parses no JSON: each
 * token costs a search for two bytes and a search for its finish reason.
 */
export class EventScanner {
  /** Number of complete token events. */
  tokens = 0;
  /** Whether a token event with a finish reason has been found. */
  finished = false;
  /** Whether `data: [DONE]` has been found. `scan` never returns it. */
  done = false;
  /** Whether the engine has reported an error inside the stream. */
  failed = false;
  /** Whether an event was longer than `MAX_EVENT_BYTES`. */
  oversized = false;
  /** The last token event, for its usage. */
  lastEvent: Buffer = EMPTY;
  #remainder: Buffer = EMPTY;

  /**
   * Scans the next chunk.
   *
   * @returns the original bytes of the events that are now complete; bytes after
   * the last complete event are kept for the next call.
   */
  scan(chunk: Buffer): Buffer {
    if (this.done || this.failed) return EMPTY;
    const bytes = this.#remainder.length === 0
      ? chunk
      : Buffer.concat([this.#remainder, chunk]);
    let start = 0;
    for (;;) {
      const end = endOfEvent(bytes, start);
      if (end === -1) break;
      this.#inspect(bytes.subarray(start, end));
      if (this.done || this.failed) {
        this.#remainder = EMPTY;
        return bytes.subarray(0, start);
      }
      start = end;
    }
    this.#remainder = start === bytes.length ? EMPTY : bytes.subarray(start);
    if (this.#remainder.length > MAX_EVENT_BYTES) this.oversized = true;
    return start === bytes.length ? bytes : bytes.subarray(0, start);
  }

  #inspect(event: Buffer): void {
    const at = startOfData(event);
    if (at === -1) return;
    if (startsWith(event, at, DONE_MARK)) {
      this.done = true;
      return;
    }
    if (startsWith(event, at, ERROR_MARK)) {
      this.failed = true;
      return;
    }
    this.tokens += 1;
    this.lastEvent = event;
    if (!this.finished) this.finished = hasFinishReason(event);
  }
}

/** Returns the index after the empty line that ends the event at `start`, or -1. */
function endOfEvent(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(LINE_FEED, start);
  while (at !== -1) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

/** Returns the index of the value of the event's first data line, or -1. */
function startOfData(event: Buffer): number {
  let at = 0;
  if (event[0] !== SMALL_D || !startsWith(event, 0, DATA_PREFIX)) {
    const line = event.indexOf(`\n${DATA_PREFIX}`);
    if (line === -1) return -1;
    at = line + 1;
  }
  at += DATA_PREFIX.length;
  return event[at] === SPACE ? at + 1 : at;
}

function startsWith(event: Buffer, at: number, mark: string): boolean {
  for (let i = 0; i < mark.length; i++) {
    if (event[at + i] !== mark.charCodeAt(i)) return false;
  }
  return true;
}

/**
 * Whether the event has a `finish_reason` that is a string. Generated text cannot
 * match, because quotes inside a JSON string are escaped.
 */
function hasFinishReason(event: Buffer): boolean {
  const key = event.indexOf(FINISH_KEY);
  if (key === -1) return false;
  let at = key + FINISH_KEY.length;
  while (event[at] === SPACE) at += 1;
  if (event[at] !== COLON) return false;
  at += 1;
  while (event[at] === SPACE) at += 1;
  return event[at] === QUOTE;
}
