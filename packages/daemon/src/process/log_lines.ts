/**
 * Log with one line of key=value pairs per event.
 *
 * @module
 */
import { formatLine } from "@umbermast/router/line";
import { Logger } from "tslog";
import type { DecisionHistory } from "./decisions.ts";
import type { Fields, Log } from "./log.ts";

/** Receives complete lines without the line break. */
export type LineSink = (line: string) => void;

/** A log that writes lines through tslog and keeps recent decisions. */
export class LineLog implements Log {
  readonly #logger: Logger<{ readonly line: string }>;
  readonly #decisions: DecisionHistory;
  readonly #now: () => number;
  readonly #onWarning: (code: string) => void;

  constructor(
    sink: LineSink,
    options: {
      readonly decisions: DecisionHistory;
      /** Epoch milliseconds. */
      readonly now?: () => number;
      /** Called with the code of each warning. */
      readonly onWarning?: (code: string) => void;
    },
  ) {
    this.#decisions = options.decisions;
    this.#now = options.now ?? Date.now;
    this.#onWarning = options.onWarning ?? (() => {});
    this.#logger = new Logger({
      type: "hidden",
      hideLogPositionForProduction: true,
      // The record is one complete line without keys to mask; searching for keys
      // would copy each record.
      maskValuesOfKeys: [],
      attachedTransports: [(record) => sink(record.line)],
    });
  }

  event(name: string, fields: Fields): void {
    this.#logger.info({ line: this.#line(name, fields) });
  }

  decision(
    name: string,
    fields: Fields & { readonly requestId: string },
  ): void {
    const line = this.#line(name, fields);
    this.#decisions.add(fields.requestId, line);
    this.#logger.info({ line });
  }

  warning(code: string, fields: Fields): void {
    this.#onWarning(code);
    this.#logger.warn({ line: this.#line("warning", { code, ...fields }) });
  }

  #line(name: string, fields: Fields): string {
    const time = new Date(this.#now()).toISOString();
    return formatLine(name, { ...fields, time });
  }
}
