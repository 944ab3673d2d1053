/**
 * Prompt tokens that a runner was given and has not worked through yet.
 *
 * An engine works through prompts in order of arrival. When many long prompts
 * come at once, a short urgent one behind them gets its first token only after
 * all of theirs, whatever its priority. Nothing tells when a prompt is done, so
 * the debt is estimated from the speed that first tokens show.
 *
 * @module
 */
import { DecayedQuantile } from "./decayed_quantile.ts";

const FIRST_GUESS_TOKENS_PER_MS = 10;
const SPEED_STEP = 0.2;
/** Faster observations come from cached prompts and tell nothing of the speed. */
const MOST_TOKENS_PER_MS = 1_000;

/** Speed at which the runners of a service work through prompts. */
export class PrefillSpeed {
  readonly #speed = new DecayedQuantile(0.5, SPEED_STEP);

  /** Prompt tokens a millisecond. */
  get tokensPerMs(): number {
    return this.#speed.value ?? FIRST_GUESS_TOKENS_PER_MS;
  }

  /** Learns from a first token: the debt at its start, and the time it took. */
  observe(debtTokens: number, firstTokenMs: number): void {
    if (debtTokens <= 0 || firstTokenMs <= 0) return;
    this.#speed.observe(
      Math.min(MOST_TOKENS_PER_MS, debtTokens / firstTokenMs),
    );
  }
}

/** The debt of one runner. */
export class PrefillDebt {
  readonly #speed: PrefillSpeed;
  #tokens = 0;
  #at = 0;

  constructor(speed: PrefillSpeed) {
    this.#speed = speed;
  }

  /** Milliseconds until the runner is through with what it has. */
  ms(now: number): number {
    return this.#tokensAt(now) / this.#speed.tokensPerMs;
  }

  /**
   * Adds a prompt.
   *
   * @returns the debt with it, in tokens.
   */
  add(promptTokens: number, now: number): number {
    this.#tokens = this.#tokensAt(now) + promptTokens;
    this.#at = now;
    return this.#tokens;
  }

  #tokensAt(now: number): number {
    const done = Math.max(0, now - this.#at) * this.#speed.tokensPerMs;
    return Math.max(0, this.#tokens - done);
  }
}
