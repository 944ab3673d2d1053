/**
 * Validation of numbers in messages of other daemons.
 *
 * @module
 */

/**
 * Returns the value if it is a finite number that is not negative, such as a count
 * or an age.
 *
 * @throws {TypeError} otherwise, with the name of the field.
 */
export function checkNonNegative(value: unknown, field: string): number {
  if (typeof value === "number" && value >= 0 && value < Infinity) return value;
  throw new TypeError(
    `Invalid state update: "${field}" is not a finite, non-negative number`,
  );
}
