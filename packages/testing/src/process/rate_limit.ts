/**
 * A bound on calls a second.
 *
 * @module
 */
const MS_PER_SECOND = 1000;

/** A token bucket that holds one second's calls. */
export class RateLimit {
  readonly #perSecond: number;
  #left: number;
  #at = performance.now();

  constructor(perSecond: number) {
    this.#perSecond = perSecond;
    this.#left = perSecond;
  }

  /** Takes one call; false when the rate is exceeded. */
  take(): boolean {
    const now = performance.now();
    const gained = (now - this.#at) * this.#perSecond / MS_PER_SECOND;
    this.#left = Math.min(this.#perSecond, this.#left + gained);
    this.#at = now;
    if (this.#left < 1) return false;
    this.#left -= 1;
    return true;
  }
}
