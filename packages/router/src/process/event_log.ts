/**
 * Structured log with one line per event, which is bounded and never blocks.
 *
 * @module
 */
import { Logger } from "tslog";
import { formatLine } from "./log_line.ts";
import type { Fields } from "./log_line.ts";

/** Log of events. */
export interface EventLog {
  /** Logs a change of state, regardless of the limit for decisions. */
  event(name: string, fields: Fields): void;
  /** Logs a decision on one request; dropped and counted under load. */
  decision(name: string, requestId: string, fields: Fields): void;
}

/** An event with its fields. */
export interface LoggedEvent {
  readonly event: string;
  readonly fields: Fields;
}

/** Writes text, and calls `done` when it has been written. */
export type TextSink = (text: string, done: () => void) => void;

/** Time in ms for which lines are collected, to save system calls. */
const FLUSH_MS = 200;
/**
 * Maximum number of decision lines per flush. This allows 1,000 lines a second,
 * ten times the planned load of one daemon (37 requests a second with about three
 * lines each).
 */
const MAX_DECISIONS = 200;
/** Maximum number of buffered characters; further lines are dropped. */
const MAX_BUFFERED = 256 * 1024;

/**
 * Buffers lines, and writes them with one outstanding asynchronous write at a time.
 * A reader that stops reading blocks that write only: lines beyond the limit are
 * dropped and counted, and requests continue.
 */
export class BufferedLog implements EventLog {
  readonly #sink: TextSink;
  readonly #clock: () => number;
  readonly #logger: Logger<{ readonly line: string }>;
  #lines: string[] = [];
  #size = 0;
  #decisions = 0;
  #dropped = 0;
  #writing = false;
  #timer: NodeJS.Timeout | undefined;
  /** Called after each write once the log is closed. */
  #onWritten: (() => void) | undefined;

  /** @param clock returns epoch milliseconds. */
  constructor(sink: TextSink, clock: () => number = Date.now) {
    this.#sink = sink;
    this.#clock = clock;
    this.#logger = new Logger({
      type: "hidden",
      hideLogPositionForProduction: true,
      // Masking copies each record, and lines contain no keys to be masked.
      maskValuesOfKeys: [],
      attachedTransports: [(record) => this.#add(record.line as string)],
    });
  }

  event(name: string, fields: Fields): void {
    this.#write(name, fields);
  }

  decision(name: string, requestId: string, fields: Fields): void {
    if (this.#decisions >= MAX_DECISIONS) {
      this.#drop();
      return;
    }
    this.#decisions += 1;
    this.#write(name, { request: requestId, ...fields });
  }

  /** Writes the buffered lines now, unless a write is outstanding. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#writing || this.#lines.length === 0) return;
    this.#addDropped();
    const lines = this.#lines;
    this.#lines = [];
    this.#size = 0;
    this.#decisions = 0;
    this.#writing = true;
    this.#sink(`${lines.join("\n")}\n`, () => {
      this.#writing = false;
      if (this.#onWritten !== undefined) this.#onWritten();
      else if (this.#lines.length > 0) this.#schedule();
    });
  }

  /**
   * Writes what is buffered and a last event; what is logged later is discarded.
   *
   * @param maxMs time after which the reader is not waited for any more.
   */
  close(last: LoggedEvent, maxMs: number): Promise<void> {
    this.#addDropped();
    this.#lines.push(this.#line(last.event, last.fields));
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, maxMs);
      this.#onWritten = () => {
        if (this.#lines.length > 0) return this.flush();
        clearTimeout(timer);
        resolve();
      };
      this.flush();
    });
  }

  #addDropped(): void {
    if (this.#dropped === 0) return;
    this.#lines.push(this.#line("lines_dropped", { count: this.#dropped }));
    this.#dropped = 0;
  }

  #write(name: string, fields: Fields): void {
    this.#logger.info({ line: this.#line(name, fields) });
  }

  #line(name: string, fields: Fields): string {
    return formatLine(name, { ...fields, time_ms: this.#clock() });
  }

  #add(line: string): void {
    if (this.#onWritten !== undefined) return;
    if (this.#size + line.length > MAX_BUFFERED) {
      this.#drop();
      return;
    }
    this.#lines.push(line);
    this.#size += line.length;
    this.#schedule();
  }

  #drop(): void {
    if (this.#onWritten !== undefined) return;
    this.#dropped += 1;
    this.#schedule();
  }

  #schedule(): void {
    if (this.#writing || this.#timer !== undefined) return;
    this.#timer = setTimeout(() => this.flush(), FLUSH_MS);
    this.#timer.unref();
  }
}
