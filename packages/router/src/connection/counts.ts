/**
 * Numbers that other daemons tell.
 *
 * @module
 */

/**
 * Takes a count, or the sum of some.
 *
 * @throws {TypeError} when it is neither.
 */
export function checkCount(value: unknown, field: string): number {
  if (typeof value === "number" && value >= 0 && value < Infinity) return value;
  throw new TypeError(`Cannot read state: "${field}" is no count`);
}
