/**
 * A log that tests read.
 *
 * @module
 */
import type { Fields, Log } from "../../src/process/log.ts";

/** One line of the log. */
export interface Line {
  readonly name: string;
  readonly fields: Fields;
}

/** A log that keeps its lines. */
export class TestLog implements Log {
  readonly lines: Line[] = [];

  event(name: string, fields: Fields): void {
    this.lines.push({ name, fields });
  }

  decision(name: string, fields: Fields): void {
    this.lines.push({ name, fields });
  }

  warning(name: string, fields: Fields): void {
    this.lines.push({ name, fields });
  }
}
