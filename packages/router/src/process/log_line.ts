/**
 * Lines of key=value pairs.
 *
 * @module
 */

/** Values of one event, by key; undefined ones are left out. */
export type Fields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

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
