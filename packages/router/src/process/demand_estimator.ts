/**
 * How many runners of a service the load needs.
 *
 * @module
 */
import { Decay } from "./decay.ts";

/**
 * Part of the time in which a runner works, at most, while requests do not wait
 * long for each other: at this one a request waits about as long as one takes.
 */
const BUSY_SHARE = 0.5;
/** Milliseconds after which what was seen counts half of what is seen now. */
const SEEN_MS = 1_500;
/**
 * Milliseconds after which the most that was needed counts half. Bursts come
 * again, and a runner that is missed in one costs more than one that stands idle
 * until the next.
 */
const MOST_MS = 300_000;
/** Part of what is held to which the need must fall before fewer are held. */
const LOWER_SHARE = 0.7;

/** A number of runners that rises at once and falls in large steps. */
class HeldCount {
  #held = 0;

  of(runners: number): number {
    const needed = Math.ceil(runners);
    const holds = needed <= this.#held && runners >= LOWER_SHARE * this.#held;
    if (!holds) this.#held = needed;
    return this.#held;
  }
}

/** How many runners are needed. */
export interface RunnersNeeded {
  /** For what is seen now. */
  readonly now: number;
  /** For the worst that was seen lately. */
  readonly peak: number;
}

/**
 * Follows how many runners are busy and tells how many are needed, so that none
 * is for more than a part of the time. The most that is needed rises at once and
 * falls slowly.
 *
 * @example
 * ```ts
 * const need = new RunnerNeed(12);
 * need.see(7.5, now);
 * need.runners(now).most; // 12 and, if this goes on, 15
 * ```
 */
export class DemandEstimator {
  readonly #age = new Decay(SEEN_MS);
  readonly #mostAge = new Decay(MOST_MS);
  #busy = 0;
  #most: number;
  readonly #nowHeld = new HeldCount();
  readonly #mostHeld = new HeldCount();

  /** @param runners that are taken to be needed before anything was seen. */
  constructor(runners: number) {
    this.#most = runners;
  }

  /** Takes how many runners have work now, with parts of others. */
  observe(busy: number, now: number): void {
    const left = this.#age.remaining(now);
    this.#busy = left * this.#busy + (1 - left) * busy;
    this.#most = Math.max(this.#decayed(now), this.#busy / BUSY_SHARE);
  }

  /** Runners that are needed. */
  estimate(now: number): RunnersNeeded {
    this.#most = this.#decayed(now);
    return {
      now: this.#nowHeld.of(this.#busy / BUSY_SHARE),
      peak: this.#mostHeld.of(this.#most),
    };
  }

  #decayed(now: number): number {
    return this.#most * this.#mostAge.remaining(now);
  }
}
