/**
 * A bound on what is sent over time.
 *
 * @module
 */

/** How much may be sent. */
export interface Rate {
  readonly perSecond: number;
  /** Most that may be sent at once, after a pause. */
  readonly burst: number;
}

/**
 * Counts what may be sent: so much a second, and some at once after a pause.
 *
 * @example
 * ```ts
 * const allowance = new Allowance({ perSecond: 29_000, most: 290_000 });
 * const bytes = allowance.left(performance.now());
 * ```
 */
export class TokenBucket {
  #rate: Rate;
  #left: number;
  #at = 0;

  /** @param left what may be sent at once at the start. */
  constructor(rate: Rate, left = rate.burst) {
    this.#rate = rate;
    this.#left = left;
  }

  /** What may be sent now; negative after more was sent than that. */
  available(now: number): number {
    const { perSecond, burst: most } = this.#rate;
    const elapsedS = Math.max(0, now - this.#at) / 1_000;
    this.#left = Math.min(most, this.#left + elapsedS * perSecond);
    this.#at = now;
    return this.#left;
  }

  /** Counts what was sent. */
  take(amount: number): void {
    this.#left -= amount;
  }

  /** Counts at another rate from now on. */
  setRate(rate: Rate, now: number): void {
    this.available(now);
    this.#rate = rate;
  }

  /** Has nothing left now. */
  empty(now: number): void {
    this.#left = 0;
    this.#at = now;
  }
}
