/**
 * A mean of observations that lose weight with time.
 *
 * @module
 */
import { Decay } from "./decay.ts";

/** Weighted mean with decay and a prior that keeps its weight. */
export class DecayedMean {
  readonly #decay: Decay;
  readonly #prior: { readonly mean: number; readonly weight: number };
  #sum = 0;
  #weight = 0;

  constructor(
    halfLifeMs: number,
    prior: { readonly mean: number; readonly weight: number },
  ) {
    this.#decay = new Decay(halfLifeMs);
    this.#prior = prior;
  }

  record(value: number, weight: number, now: number): void {
    this.#applyDecay(now);
    this.#sum += weight * value;
    this.#weight += weight;
  }

  /** @param priorMean replaces the prior's mean. */
  mean(now: number, priorMean = this.#prior.mean): number {
    this.#applyDecay(now);
    const { weight } = this.#prior;
    return (this.#sum + weight * priorMean) / (this.#weight + weight);
  }

  #applyDecay(now: number): void {
    const factor = this.#decay.remaining(now);
    this.#sum *= factor;
    this.#weight *= factor;
  }
}
