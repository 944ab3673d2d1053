/**
 * What a request will cost, before its output length is known.
 *
 * @module
 */

import { DecayedQuantile } from "./decayed_quantile.ts";

/** Cost of a token of prompt, in tokens of output. */
export const PROMPT_TOKEN_COST = 0.05;

const FIRST_GUESS_TOKENS = 100;
/** The estimate sits where this share of outputs is shorter. */
const QUANTILE = 0.6;
const STEP = 0.16;
const ENTRIES_LIMIT = 10_000;

/** Cost of tokens served, in tokens of output. At least 1. */
export function costOf(promptTokens: number, outputTokens: number): number {
  return Math.max(1, promptTokens * PROMPT_TOKEN_COST + outputTokens);
}

/** Tracks a decayed quantile of output lengths per workspace and class. */
export class CostEstimator {
  readonly #outputs = new Map<string, DecayedQuantile>();

  /** Expected tokens of output. */
  output(workspace: string, className: string): number {
    return this.#outputs.get(keyOf(workspace, className))?.value ??
      this.#outputs.get(keyOf("", className))?.value ?? FIRST_GUESS_TOKENS;
  }

  /** Learns from a whole answer. */
  learn(
    workspace: string,
    served: { readonly class: string; readonly outputTokens: number },
  ): void {
    this.#learn(keyOf(workspace, served.class), served.outputTokens);
    this.#learn(keyOf("", served.class), served.outputTokens);
  }

  #learn(key: string, tokens: number): void {
    let known = this.#outputs.get(key);
    if (known === undefined) {
      // Names come from the table, but an edit may bring many in turn.
      if (this.#outputs.size >= ENTRIES_LIMIT) this.#outputs.clear();
      known = new DecayedQuantile(QUANTILE, STEP);
      this.#outputs.set(key, known);
    }
    known.observe(tokens);
  }
}

function keyOf(workspace: string, className: string): string {
  return `${className}\n${workspace}`;
}
