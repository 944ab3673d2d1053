/**
 * Formatting of log lines as key=value pairs.
 *
 * @module
 */

/** Values of one event, by key; undefined values are omitted. */
export type Fields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Text without quoting, as it contains no line break, space, quote or "=". */
const PLAIN = /^[A-Za-z0-9_.:/@+,[\]-]+$/;
/** Any character that is not printable ASCII. */
const UNPRINTABLE = /[^\x20-\x7e]/g;
const MAX_VALUE_LENGTH = 512;
const HEX_DIGITS = 4;
const HEX = 16;

function escapeUnit(unit: string): string {
  const code = unit.charCodeAt(0).toString(HEX).padStart(HEX_DIGITS, "0");
  return `\\u${code}`;
}

/**
 * Formats a value so that it is parsed as one value on one line.
 *
 * Text comes from callers, runners and the platform. Unescaped, a line break would
 * start another event, and a space followed by a "=" would form another pair, so
 * that a caller could forge the events that operators and scripts read.
 */
export function formatValue(value: string | number | boolean): string {
  if (typeof value !== "string") return String(value);
  const bounded = value.length > MAX_VALUE_LENGTH
    ? `${value.slice(0, MAX_VALUE_LENGTH)}...`
    : value;
  if (PLAIN.test(bounded)) return bounded;
  return JSON.stringify(bounded).replace(UNPRINTABLE, escapeUnit);
}

/** Formats an event as pairs, of which the first one is the event's name. */
export function formatLine(name: string, fields: Fields): string {
  let line = `event=${formatValue(name)}`;
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) line += ` ${key}=${formatValue(value)}`;
  }
  return line;
}
