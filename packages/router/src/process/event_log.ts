/**
 * The structured log: one line for each event, bounded and never blocking.
 *
 * @module
 */
import { Logger } from "tslog";
import { formatLine } from "./log_line.ts";
import type { Fields } from "./log_line.ts";

/** Writes events. */
export interface EventLog {
  /** A change of what the process believes or does; always written. */
  event(name: string, fields: Fields): void;
  /** A decision on one request; counted but not written under load. */
  decision(name: string, requestId: string, fields: Fields): void;
}

/** Takes finished text; calls back when it has been written. */
export type TextSink = (text: string, done: () => void) => void;

/** Milliseconds for which lines are collected, to save system calls. */
const FLUSH_MS = 200;
/**
 * Decision lines kept for one flush: 1,000 a second, ten times what one daemon
 * decides at the planned size (37 requests a second, about three lines each).
 */
const MAX_DECISIONS = 200;
/** Characters that wait for a slow reader before lines are dropped. */
const MAX_WAITING = 256 * 1024;

/**
 * Collects lines and writes them through one outstanding asynchronous write.
 * A reader that stops reading holds back that write only: lines beyond the
 * bound are dropped and counted, and requests go on.
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

  /** @param clock epoch milliseconds. */
  constructor(sink: TextSink, clock: () => number = Date.now) {
    this.#sink = sink;
    this.#clock = clock;
    this.#logger = new Logger({
      type: "hidden",
      hideLogPositionForProduction: true,
      // Looking for keys to mask copies each record, and lines hold none.
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

  /** Writes what has been collected now. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#writing || this.#lines.length === 0) return;
    const lines = this.#lines;
    if (this.#dropped > 0) {
      lines.push(this.#line("lines_dropped", { count: this.#dropped }));
    }
    this.#lines = [];
    this.#size = 0;
    this.#decisions = 0;
    this.#dropped = 0;
    this.#writing = true;
    this.#sink(`${lines.join("\n")}\n`, () => {
      this.#writing = false;
      if (this.#lines.length > 0) this.#schedule();
    });
  }

  #write(name: string, fields: Fields): void {
    this.#logger.info({ line: this.#line(name, fields) });
  }

  #line(name: string, fields: Fields): string {
    return formatLine(name, { ...fields, time_ms: this.#clock() });
  }

  #add(line: string): void {
    if (this.#size + line.length > MAX_WAITING) {
      this.#drop();
      return;
    }
    this.#lines.push(line);
    this.#size += line.length;
    this.#schedule();
  }

  #drop(): void {
    this.#dropped += 1;
    this.#schedule();
  }

  #schedule(): void {
    if (this.#writing || this.#timer !== undefined) return;
    this.#timer = setTimeout(() => this.flush(), FLUSH_MS);
    this.#timer.unref();
  }
}
