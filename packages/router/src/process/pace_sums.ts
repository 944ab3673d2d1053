/**
 * Sums of the observed work of a runner, from which its pace is estimated and
 * which daemons exchange.
 *
 * @module
 */
import { Decay } from "./decay.ts";

/** Observed time of work, and the amount of work that was done in it. */
export interface PaceSums {
  /** Time in which prompts were prefilled, without their first events. */
  readonly promptMs: number;
  readonly promptTokens: number;
  /** Time of steps without prefill. */
  readonly stepMs: number;
  /** Number of these steps: tokens that one stream got in them. */
  readonly stepTokens: number;
  /** Requests in the batch, summed over these steps. */
  readonly stepRequests: number;
  /** Time of work on requests of a plain service. */
  readonly responseMs: number;
  readonly responses: number;
}

/** The fields of the sums, in their order in messages between daemons. */
export const PACE_FIELDS: readonly (keyof PaceSums)[] = [
  "promptMs",
  "promptTokens",
  "stepMs",
  "stepTokens",
  "stepRequests",
  "responseMs",
  "responses",
];

/** Sums without any observation. */
export const NO_SUMS: PaceSums = {
  promptMs: 0,
  promptTokens: 0,
  stepMs: 0,
  stepTokens: 0,
  stepRequests: 0,
  responseMs: 0,
  responses: 0,
};

/** Adds sums, the second ones multiplied by a factor. */
export function addSums(one: PaceSums, other: PaceSums, factor = 1): PaceSums {
  return {
    promptMs: one.promptMs + factor * other.promptMs,
    promptTokens: one.promptTokens + factor * other.promptTokens,
    stepMs: one.stepMs + factor * other.stepMs,
    stepTokens: one.stepTokens + factor * other.stepTokens,
    stepRequests: one.stepRequests + factor * other.stepRequests,
    responseMs: one.responseMs + factor * other.responseMs,
    responses: one.responses + factor * other.responses,
  };
}

/** Observed time of all kinds of work. */
export function observedMs(sums: PaceSums): number {
  return sums.promptMs + sums.stepMs + sums.responseMs;
}

/** Sums in which earlier observations lose weight. */
export class DecayedSums {
  readonly #decay: Decay;
  /** Changed in place: sums are added for each event of a stream. */
  readonly #sums: { -readonly [Field in keyof PaceSums]: number } = {
    ...NO_SUMS,
  };

  /** @param halfLifeMs milliseconds after which an observation has half its weight. */
  constructor(halfLifeMs: number) {
    this.#decay = new Decay(halfLifeMs);
  }

  add(change: PaceSums, now: number): void {
    this.#applyDecay(now);
    const sums = this.#sums;
    sums.promptMs += change.promptMs;
    sums.promptTokens += change.promptTokens;
    sums.stepMs += change.stepMs;
    sums.stepTokens += change.stepTokens;
    sums.stepRequests += change.stepRequests;
    sums.responseMs += change.responseMs;
    sums.responses += change.responses;
  }

  /** The sums at a time; they hold until the next call. */
  at(now: number): PaceSums {
    this.#applyDecay(now);
    return this.#sums;
  }

  #applyDecay(now: number): void {
    const factor = this.#decay.remaining(now);
    if (factor === 1) return;
    const sums = this.#sums;
    sums.promptMs *= factor;
    sums.promptTokens *= factor;
    sums.stepMs *= factor;
    sums.stepTokens *= factor;
    sums.stepRequests *= factor;
    sums.responseMs *= factor;
    sums.responses *= factor;
  }
}
