/**
 * Decode speed of runners, measured from the events of streams.
 *
 * @module
 */

import { Decay } from "./decay.ts";

/**
 * Half-life of observations in ms. A burst of prompts slows an engine's streams
 * to a fifth of their speed within a second.
 */
const HALF_LIFE_MS = 1_500;
/**
 * Weight of the service's mean in the estimate for one runner, in tokens. In a
 * large fleet a daemon has few streams at each runner: several events should
 * outweigh the mean, a single one should not.
 */
const PRIOR_TOKENS = 40;
/** Minimum tokens before the first estimate, as the first ones after a start are slow. */
const MIN_TOKENS = 40;

/** Mean time per token with exponential decay. */
class DecayedMean {
  #ms = 0;
  #tokens = 0;
  readonly #decay = new Decay(HALF_LIFE_MS);

  record(ms: number, tokens: number, now: number): void {
    this.#applyDecay(now);
    this.#ms += ms;
    this.#tokens += tokens;
  }

  sums(now: number): { readonly ms: number; readonly tokens: number } {
    this.#applyDecay(now);
    return { ms: this.#ms, tokens: this.#tokens };
  }

  #applyDecay(now: number): void {
    const factor = this.#decay.remaining(now);
    this.#ms *= factor;
    this.#tokens *= factor;
  }
}

/**
 * Estimates the time per output token at each runner of one service.
 *
 * @example
 * ```ts
 * pace.record("r-1", { ms: 120, tokens: 5, now });
 * const ms = pace.msPerToken("r-1", now);
 * ```
 */
export class StreamPace {
  readonly #service = new DecayedMean();
  readonly #runners = new Map<string, DecayedMean>();

  /**
   * Records the time between two events of a stream, and the later's tokens.
   */
  record(
    runner: string,
    observation: {
      readonly ms: number;
      readonly tokens: number;
      readonly now: number;
    },
  ): void {
    const { ms, tokens, now } = observation;
    this.#service.record(ms, tokens, now);
    const own = this.#runners.get(runner) ?? new DecayedMean();
    this.#runners.set(runner, own);
    own.record(ms, tokens, now);
  }

  /**
   * Estimated ms per output token of a runner; undefined without enough data.
   */
  msPerToken(runner: string, now: number): number | undefined {
    const all = this.#service.sums(now);
    if (all.tokens < MIN_TOKENS) return undefined;
    const own = this.#runners.get(runner)?.sums(now) ?? { ms: 0, tokens: 0 };
    const prior = PRIOR_TOKENS * all.ms / all.tokens;
    return (own.ms + prior) / (own.tokens + PRIOR_TOKENS);
  }

  /** Deletes runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#runners.keys()) {
      if (!ids.has(id)) this.#runners.delete(id);
    }
  }
}
