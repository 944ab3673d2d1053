/**
 * Rate limiting with a token bucket.
 *
 * @module
 */

/** Rate and burst size of a bucket. */
export interface Rate {
  /** Tokens added per second. */
  readonly perSecond: number;
  /** Capacity: most tokens that may be used at once, after a pause. */
  readonly burst: number;
}

/**
 * Token bucket with a constant refill rate and a bounded burst.
 *
 * @example
 * ```ts
 * const bucket = new TokenBucket({ perSecond: 29_000, burst: 290_000 });
 * const bytes = bucket.available(performance.now());
 * ```
 */
export class TokenBucket {
  #rate: Rate;
  #tokens: number;
  #refilledAt = 0;

  /** @param tokens initial number of tokens. */
  constructor(rate: Rate, tokens = rate.burst) {
    this.#rate = rate;
    this.#tokens = tokens;
  }

  /** Tokens available now; negative after more were taken than available. */
  available(now: number): number {
    const { perSecond, burst } = this.#rate;
    const elapsedS = Math.max(0, now - this.#refilledAt) / 1_000;
    this.#tokens = Math.min(burst, this.#tokens + elapsedS * perSecond);
    this.#refilledAt = now;
    return this.#tokens;
  }

  /** Takes tokens, whether available or not. */
  take(amount: number): void {
    this.#tokens -= amount;
  }

  /** Changes the rate from now on. */
  setRate(rate: Rate, now: number): void {
    this.available(now);
    this.#rate = rate;
  }

  /** Removes all tokens. */
  empty(now: number): void {
    this.#tokens = 0;
    this.#refilledAt = now;
  }
}
