/**
 * How fast runners make the tokens of their answers, as events of streams show.
 *
 * @module
 */

import { Decay } from "./decay.ts";

/**
 * Milliseconds after which an observation counts half. A burst of prompts slows
 * an engine's streams to a fifth of their pace within a second.
 */
const HALF_LIFE_MS = 1_500;
/**
 * Tokens by which the mean of the service counts at one runner. A daemon of many
 * has few streams at each; some events say more than the mean, one does not.
 */
const PRIOR_TOKENS = 40;
/** Tokens below which nothing is said: the first ones after a start are slow. */
const LEAST_TOKENS = 40;

/** A mean that forgets. */
class DecayedMean {
  #ms = 0;
  #tokens = 0;
  readonly #age = new Decay(HALF_LIFE_MS);

  note(ms: number, tokens: number, now: number): void {
    this.#decay(now);
    this.#ms += ms;
    this.#tokens += tokens;
  }

  sums(now: number): { readonly ms: number; readonly tokens: number } {
    this.#decay(now);
    return { ms: this.#ms, tokens: this.#tokens };
  }

  #decay(now: number): void {
    const left = this.#age.remaining(now);
    this.#ms *= left;
    this.#tokens *= left;
  }
}

/**
 * The pace of streams at the runners of one service.
 *
 * @example
 * ```ts
 * pace.note("r-1", { ms: 120, tokens: 5, now });
 * const ms = pace.msPerToken("r-1", now);
 * ```
 */
export class StreamPace {
  readonly #service = new DecayedMean();
  readonly #runners = new Map<string, DecayedMean>();

  /** Notes the time between two events of a stream, and what the later holds. */
  record(
    runner: string,
    seen: {
      readonly ms: number;
      readonly tokens: number;
      readonly now: number;
    },
  ): void {
    const { ms, tokens, now } = seen;
    this.#service.note(ms, tokens, now);
    const own = this.#runners.get(runner) ?? new DecayedMean();
    this.#runners.set(runner, own);
    own.note(ms, tokens, now);
  }

  /** Milliseconds that a runner takes for a token; none before it is known. */
  msPerToken(runner: string, now: number): number | undefined {
    const all = this.#service.sums(now);
    if (all.tokens < LEAST_TOKENS) return undefined;
    const own = this.#runners.get(runner)?.sums(now) ?? { ms: 0, tokens: 0 };
    const prior = PRIOR_TOKENS * all.ms / all.tokens;
    return (own.ms + prior) / (own.tokens + PRIOR_TOKENS);
  }

  /** Forgets runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#runners.keys()) {
      if (!ids.has(id)) this.#runners.delete(id);
    }
  }
}
