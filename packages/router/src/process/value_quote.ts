/**
 * Quotes of untrusted values, for messages to operators.
 *
 * @module
 */

/** Longest quoted text, in characters; a value may be 1 MB. */
const MAX_TEXT_LENGTH = 60;

/**
 * Quotes a value of any type. The contents of lists and objects are left out, so
 * that neither the time nor the length depends on the size or depth of the value.
 *
 * @example
 * ```ts
 * quoteValue("ready"); // '"ready"'
 * quoteValue([[[]]]); // "a list of 1 item"
 * ```
 */
export function quoteValue(value: unknown): string {
  if (value === undefined) return "nothing";
  if (typeof value === "string") return JSON.stringify(truncate(value));
  if (Array.isArray(value)) return quoteList(value);
  if (typeof value === "object" && value !== null) return "an object";
  return truncate(String(value));
}

function truncate(text: string): string {
  return text.length > MAX_TEXT_LENGTH
    ? `${text.slice(0, MAX_TEXT_LENGTH)}...`
    : text;
}

function quoteList({ length }: readonly unknown[]): string {
  return `a list of ${length} ${length === 1 ? "item" : "items"}`;
}
