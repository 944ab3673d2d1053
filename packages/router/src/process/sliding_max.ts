/**
 * The largest of what was seen lately.
 *
 * @module
 */

/**
 * Remembers the largest value of the last while. The size of the fleet is heard
 * from neighbours and falls for some seconds when one of them is lost; what is
 * divided by it would be given away several times over.
 */
export class SlidingMax {
  readonly #spanMs: number;
  #since = -Infinity;
  #now = 0;
  #before = 0;

  /** @param spanMs a value is remembered for this long, and twice it at most. */
  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  /** Takes a value, and tells the largest one. */
  update(value: number, now: number): number {
    const age = now - this.#since;
    if (age >= this.#spanMs) {
      this.#before = age < 2 * this.#spanMs ? this.#now : 0;
      this.#now = 0;
      this.#since = now;
    }
    this.#now = Math.max(this.#now, value);
    return Math.max(this.#now, this.#before);
  }
}
