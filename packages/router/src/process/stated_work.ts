/**
 * How long work takes on a runner's host, as the runner states it.
 *
 * @module
 */
import { Decay } from "./decay.ts";
import { DecayedMean } from "./decayed_mean.ts";

/**
 * Milliseconds after which a stated figure has no weight any more: on shared
 * hosts it changes within some hundred ms.
 */
export const STATED_TTL_MS = 500;
/** Half-life in ms of the mean of figures. */
const MEAN_HALF_LIFE_MS = 30_000;
/** Weight of the prior in the mean of figures, in figures. */
const PRIOR_FIGURES = 4;
/**
 * Factor by which a figure must differ from the runner's mean to show whether
 * it is true: below it the observations vary more than the figure.
 */
const TELLING_FACTOR = 1.25;
/** Half-life in ms of the evidence on whether a runner's figures are true. */
const EVIDENCE_HALF_LIFE_MS = 30_000;
/**
 * Evidence, in natural logarithms of error, at which figures are ignored: three
 * observations that a figure misses by a factor of two.
 */
const REFUTED = 2;
/** Evidence that one observation may give, so that an outlier refutes nothing. */
const MAX_EVIDENCE = 0.7;

/** Creates a mean of stated figures, of which 1 is usual. */
export function meanOfFigures(): DecayedMean {
  return new DecayedMean(MEAN_HALF_LIFE_MS, { mean: 1, weight: PRIOR_FIGURES });
}

/**
 * The figure that a runner stated last, the mean of its figures, and whether
 * observations confirm them. A runner whose figures are wrong is estimated as
 * if it stated none.
 */
export class StatedWork {
  readonly #mean = meanOfFigures();
  readonly #decay = new Decay(EVIDENCE_HALF_LIFE_MS);
  #work = 1;
  #at = -Infinity;
  /** Evidence against the figures; negative if they are confirmed. */
  #evidence = 0;

  /** The figure that was stated last; 1 is usual. */
  get work(): number {
    return this.#work;
  }

  /** When the figure was stated, in monotonic ms. */
  get at(): number {
    return this.#at;
  }

  /** Records a figure, unless a later one is known. */
  record(work: number, at: number): boolean {
    if (at <= this.#at) return false;
    this.#work = work;
    this.#at = at;
    this.#mean.record(work, 1, at);
    return true;
  }

  /** Mean of the runner's figures; `prior` while few are known. */
  mean(prior: number, now: number): number {
    return this.#mean.mean(now, prior);
  }

  /** Weight of the figure for work at a time, by its age, from 0 to 1. */
  freshness(at: number): number {
    return Math.max(0, 1 - Math.abs(at - this.#at) / STATED_TTL_MS);
  }

  /** Share of the figures' effect that observations leave, from 0 to 1. */
  trust(now: number): number {
    this.#evidence *= this.#decay.remaining(now);
    return Math.min(1, Math.max(0, 1 - this.#evidence / REFUTED));
  }

  /**
   * Compares an observation with the estimates with and without the figure.
   *
   * @param observed observed time, relative to the estimate without the figure.
   * @param stated the figure, relative to the mean of the runner's figures.
   * @returns whether the estimate with the figure is nearer; undefined if the
   * figure is too near the mean to show it.
   */
  judge(observed: number, stated: number, now: number): boolean | undefined {
    const expected = Math.log(stated);
    if (Math.abs(expected) < Math.log(TELLING_FACTOR)) return undefined;
    const actual = Math.log(observed);
    const against = Math.abs(actual - expected) - Math.abs(actual);
    const counted = Math.max(-MAX_EVIDENCE, Math.min(MAX_EVIDENCE, against));
    this.trust(now);
    this.#evidence = Math.max(
      -REFUTED,
      Math.min(REFUTED, this.#evidence + counted),
    );
    return against < 0;
  }
}
