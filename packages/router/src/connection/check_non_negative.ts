/**
 * Validation of numbers in messages of other daemons.
 *
 * @module
 */

/** A figure in a message that cannot be a count or an age. */
export class InvalidFigure extends TypeError {
  override readonly name = "InvalidFigure";
}

/**
 * Returns the value if it is a number from 0 to 2^53 - 1, such as a count or an
 * age. Larger ones would make sums inexact, and then less than zero.
 *
 * @throws {InvalidFigure} for any other number, with the name of the field.
 * @throws {TypeError} if the value is no number, as in another layout.
 */
export function checkNonNegative(value: unknown, field: string): number {
  if (typeof value !== "number") {
    throw new TypeError(`Invalid state update: "${field}" is not a number`);
  }
  if (value >= 0 && value <= Number.MAX_SAFE_INTEGER) return value;
  throw new InvalidFigure(
    `Invalid state update: "${field}" is not a number from 0 to 2^53 - 1`,
  );
}
