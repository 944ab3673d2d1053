/**
 * Recent rate of responses that report a failure of the runner.
 *
 * @module
 */

import { Decay } from "./decay.ts";

/**
 * Half-life of responses in ms, so that the rate follows a runner that begins
 * to fail or recovers within some seconds.
 */
const HALF_LIFE_MS = 3_000;
/**
 * Assumed prior successes, so that a single failure has little weight: plain
 * services fail a seventh of their requests in normal operation.
 */
const PRIOR_SUCCESSES = 4;

/** Failure rate with exponential decay. */
export class FailureRate {
  #answered = 0;
  #failed = 0;
  readonly #decay = new Decay(HALF_LIFE_MS);

  /** Records responses, and how many of them were failures. */
  record(answered: number, failed: number, now: number): void {
    this.#applyDecay(now);
    this.#answered += answered;
    this.#failed += failed;
  }

  /** Fraction of responses that were failures, from 0 to 1. */
  rate(now: number): number {
    this.#applyDecay(now);
    return this.#failed / (this.#answered + PRIOR_SUCCESSES);
  }

  #applyDecay(now: number): void {
    const factor = this.#decay.remaining(now);
    this.#answered *= factor;
    this.#failed *= factor;
  }
}
