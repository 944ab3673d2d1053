/**
 * Log lines: one line of key=value pairs for each event.
 *
 * @module
 */
import { Logger } from "tslog";
import type { DecisionHistory } from "./decisions.ts";
import type { Fields, Log } from "./log.ts";

/** Text that needs no quotes: it can hold no line break, blank, quote or "=". */
const PLAIN = /^[A-Za-z0-9_.:/@+,[\]-]+$/;
/** Everything that is not a printable ASCII character. */
const UNPRINTABLE = /[^\x20-\x7e]/g;
const MAX_VALUE_LENGTH = 512;
const HEX_DIGITS = 4;
const HEX = 16;

function escapeUnit(unit: string): string {
  const code = unit.charCodeAt(0).toString(HEX).padStart(HEX_DIGITS, "0");
  return `\\u${code}`;
}

/**
 * Writes a value so that it stays one value on one line.
 *
 * Text comes from callers, runners and the platform. Unescaped, a line break in
 * it would read as an event of its own and a blank with "=" as another pair, so
 * that a caller could forge what operators and scripts see.
 */
export function formatValue(value: string | number | boolean): string {
  if (typeof value !== "string") return String(value);
  const bounded = value.length > MAX_VALUE_LENGTH
    ? `${value.slice(0, MAX_VALUE_LENGTH)}...`
    : value;
  if (PLAIN.test(bounded)) return bounded;
  return JSON.stringify(bounded).replace(UNPRINTABLE, escapeUnit);
}

/** Writes an event as pairs, the event's name first. */
export function formatLine(name: string, fields: Fields): string {
  let line = `event=${formatValue(name)}`;
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) line += ` ${key}=${formatValue(value)}`;
  }
  return line;
}

/** Takes finished lines, without the line break. */
export type LineSink = (line: string) => void;

/** A log that writes lines through tslog and keeps decisions for a while. */
export class LineLog implements Log {
  readonly #logger: Logger<{ readonly line: string }>;
  readonly #decisions: DecisionHistory;
  readonly #now: () => number;
  readonly #warned: (code: string) => void;

  constructor(
    sink: LineSink,
    options: {
      readonly decisions: DecisionHistory;
      /** Epoch milliseconds. */
      readonly now?: () => number;
      /** Told of each warning's code. */
      readonly warned?: (code: string) => void;
    },
  ) {
    this.#decisions = options.decisions;
    this.#now = options.now ?? Date.now;
    this.#warned = options.warned ?? (() => {});
    this.#logger = new Logger({
      type: "hidden",
      hideLogPositionForProduction: true,
      // The record is one finished line, with no keys in it to mask; looking
      // for them copies each record.
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
    this.#warned(code);
    this.#logger.warn({ line: this.#line("warning", { code, ...fields }) });
  }

  #line(name: string, fields: Fields): string {
    const time = new Date(this.#now()).toISOString();
    return formatLine(name, { ...fields, time });
  }
}
