/**
 * Time that the runners of a plain service work on a request, as this daemon
 * observes it.
 *
 * @module
 */
import { DecayedMean } from "./decayed_mean.ts";

/**
 * Half-life of observations in ms. A runner on a shared host is slower for
 * moments of about 600 ms; queues must follow within such a moment.
 */
const HALF_LIFE_MS = 400;
/**
 * Weight of the service's mean in the estimate for one runner, in responses:
 * one daemon of many sees few responses of each runner.
 */
const PRIOR_RESPONSES = 2;

/** Creates a mean of response times, whose prior is given where it is read. */
function meanOfResponses(): DecayedMean {
  return new DecayedMean(HALF_LIFE_MS, { mean: 0, weight: PRIOR_RESPONSES });
}

/**
 * Estimates how long the runners of one plain service work on a request. It is
 * used where no {@linkcode RunnerPace} knows the time.
 *
 * @example
 * ```ts
 * times.record("r-1", { ms: 43, now });
 * times.of("r-1", now);
 * ```
 */
export class ResponseTimes {
  readonly #runners = new Map<string, DecayedMean>();
  readonly #all = meanOfResponses();
  /** The service's mean when it was last observed. */
  #latest: number | undefined;

  /** Records a response to a request that did not wait for a slot. */
  record(
    runner: string,
    observation: { readonly ms: number; readonly now: number },
  ): void {
    const { ms, now } = observation;
    this.#all.record(ms, 1, now);
    // The first observation is its own prior; later ones have the last mean.
    this.#latest = this.#all.mean(now, this.#latest ?? ms);
    const own = this.#runners.get(runner) ?? meanOfResponses();
    this.#runners.set(runner, own);
    own.record(ms, 1, now);
  }

  /** Milliseconds of work on a request; undefined before any response. */
  of(runner: string, now: number): number | undefined {
    if (this.#latest === undefined) return undefined;
    return this.#runners.get(runner)?.mean(now, this.#latest) ?? this.#latest;
  }

  /** Deletes runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#runners.keys()) {
      if (!ids.has(id)) this.#runners.delete(id);
    }
  }
}
