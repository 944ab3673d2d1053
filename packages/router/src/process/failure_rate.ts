/**
 * How often a runner has answered with a failure of its own lately.
 *
 * @module
 */

import { Decay } from "./decay.ts";

/**
 * Milliseconds after which an answer counts half. A runner that begins to fail, or
 * to work again, is known for it within some seconds.
 */
const HALF_LIFE_MS = 3_000;
/**
 * Good answers that are taken for granted, so that one failure says little: plain
 * services fail a seventh of their requests while nothing is wrong.
 */
const PRIOR_ANSWERS = 4;

/** Counts answers that are worth less the older they are. */
export class FailureRate {
  #answered = 0;
  #failed = 0;
  readonly #age = new Decay(HALF_LIFE_MS);

  /** Notes answers, and how many of them were failures. */
  record(answered: number, failed: number, now: number): void {
    this.#decay(now);
    this.#answered += answered;
    this.#failed += failed;
  }

  /** Part of the answers that were failures, from 0 to 1. */
  rate(now: number): number {
    this.#decay(now);
    return this.#failed / (this.#answered + PRIOR_ANSWERS);
  }

  #decay(now: number): void {
    const left = this.#age.remaining(now);
    this.#answered *= left;
    this.#failed *= left;
  }
}
