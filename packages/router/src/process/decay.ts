/**
 * Exponential decay of observations.
 *
 * @module
 */

/**
 * Computes the decay factor to apply to earlier observations.
 *
 * @example
 * ```ts
 * const decay = new Decay(3_000);
 * count = count * decay.remaining(now) + 1;
 * ```
 */
export class Decay {
  readonly #halfLifeMs: number;
  #lastAt = 0;

  /** @param halfLifeMs milliseconds after which a count has half its weight. */
  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  /** Decay factor since the last call, from 0 to 1. */
  remaining(now: number): number {
    if (now <= this.#lastAt) return 1;
    const factor = 0.5 ** ((now - this.#lastAt) / this.#halfLifeMs);
    this.#lastAt = now;
    return factor;
  }
}
