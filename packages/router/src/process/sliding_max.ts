/**
 * Maximum of recent values.
 *
 * @module
 */

/**
 * Approximate maximum over a sliding window. The size of the fleet is reported
 * by neighbours and drops for some seconds when one of them is lost; limits
 * divided by the lower number would be allocated several times over.
 */
export class SlidingMax {
  readonly #spanMs: number;
  #windowStart = -Infinity;
  #currentMax = 0;
  #previousMax = 0;

  /** @param spanMs values count for at least this long, and at most twice. */
  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  /** Adds a value and returns the maximum. */
  update(value: number, now: number): number {
    const age = now - this.#windowStart;
    if (age >= this.#spanMs) {
      this.#previousMax = age < 2 * this.#spanMs ? this.#currentMax : 0;
      this.#currentMax = 0;
      this.#windowStart = now;
    }
    this.#currentMax = Math.max(this.#currentMax, value);
    return Math.max(this.#currentMax, this.#previousMax);
  }
}
