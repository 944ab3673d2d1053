/**
 * Estimation of how many runners of a service the load requires.
 *
 * @module
 */
import { Decay } from "./decay.ts";

/**
 * Target utilization of a runner. At 0.5 a request waits about as long as one
 * request takes to serve.
 */
const TARGET_UTILIZATION = 0.5;
/** Half-life in ms of observations of the current load. */
const LOAD_HALF_LIFE_MS = 1_500;
/**
 * Half-life in ms of the peak. Bursts recur, and a missing runner in a burst
 * costs more than one that idles until the next burst.
 */
const PEAK_HALF_LIFE_MS = 300_000;
/** Fraction of the held count below which the need must fall to reduce it. */
const RELEASE_FRACTION = 0.7;

/** Count with hysteresis: rises immediately and falls in large steps. */
class HeldCount {
  #held = 0;

  /** Returns the count to hold for the number of runners needed. */
  of(runners: number): number {
    const needed = Math.ceil(runners);
    const holds = needed <= this.#held &&
      runners >= RELEASE_FRACTION * this.#held;
    if (!holds) this.#held = needed;
    return this.#held;
  }
}

/** Estimated numbers of runners needed. */
export interface RunnersNeeded {
  /** For the current load. */
  readonly now: number;
  /** For the recent peak load. */
  readonly peak: number;
}

/**
 * Estimates the number of runners needed from the number of busy ones, so that
 * the utilization stays below its target. The peak rises at once and falls
 * slowly.
 *
 * @example
 * ```ts
 * const estimator = new DemandEstimator(12);
 * estimator.observe(7.5, now);
 * estimator.estimate(now).peak; // 12, and 15 if this load continues
 * ```
 */
export class DemandEstimator {
  readonly #loadDecay = new Decay(LOAD_HALF_LIFE_MS);
  readonly #peakDecay = new Decay(PEAK_HALF_LIFE_MS);
  #busy = 0;
  #peak: number;
  readonly #nowHeld = new HeldCount();
  readonly #peakHeld = new HeldCount();

  /** @param runners initial peak, before any observation. */
  constructor(runners: number) {
    this.#peak = runners;
  }

  /** Adds an observation: the number of busy runners, fractions included. */
  observe(busy: number, now: number): void {
    const weight = this.#loadDecay.remaining(now);
    this.#busy = weight * this.#busy + (1 - weight) * busy;
    this.#peak = Math.max(
      this.#decayedPeak(now),
      this.#busy / TARGET_UTILIZATION,
    );
  }

  /** Returns the numbers of runners needed. */
  estimate(now: number): RunnersNeeded {
    this.#peak = this.#decayedPeak(now);
    return {
      now: this.#nowHeld.of(this.#busy / TARGET_UTILIZATION),
      peak: this.#peakHeld.of(this.#peak),
    };
  }

  #decayedPeak(now: number): number {
    return this.#peak * this.#peakDecay.remaining(now);
  }
}
