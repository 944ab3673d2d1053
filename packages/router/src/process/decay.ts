/**
 * Forgetting of what was observed long ago.
 *
 * @module
 */

/**
 * Tells how much of what was counted before still counts.
 *
 * @example
 * ```ts
 * const decay = new Decay(3_000);
 * count = count * decay.left(now) + 1;
 * ```
 */
export class Decay {
  readonly #halfLifeMs: number;
  #at = 0;

  /** @param halfLifeMs milliseconds after which a count is worth half. */
  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  /** Part that is left since the last call, from 0 to 1. */
  remaining(now: number): number {
    if (now <= this.#at) return 1;
    const part = 0.5 ** ((now - this.#at) / this.#halfLifeMs);
    this.#at = now;
    return part;
  }
}
