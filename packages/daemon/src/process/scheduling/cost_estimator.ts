/**
 * Estimation of a request's cost before its output length is known.
 *
 * @module
 */
import { DecayedQuantile } from "./decayed_quantile.ts";

/** Cost of a prompt token, in tokens of output. */
export const PROMPT_TOKEN_COST = 0.05;

const DEFAULT_OUTPUT_TOKENS = 100;
/** Quantile of the output lengths that is the estimate. */
const OUTPUT_QUANTILE = 0.6;
/** Step of the quantile estimate per observation. */
const QUANTILE_STEP = 0.16;
const MAX_ENTRIES = 10_000;

/** Cost of tokens served, in tokens of output. At least 1. */
export function costOf(promptTokens: number, outputTokens: number): number {
  return Math.max(1, promptTokens * PROMPT_TOKEN_COST + outputTokens);
}

/** Tracks a decayed quantile of output lengths per workspace and class. */
export class CostEstimator {
  readonly #outputQuantiles = new Map<string, DecayedQuantile>();

  /** Expected number of output tokens. */
  expectedOutputTokens(workspace: string, className: string): number {
    return this.#outputQuantiles.get(keyOf(workspace, className))?.value ??
      this.#outputQuantiles.get(keyOf("", className))?.value ??
      DEFAULT_OUTPUT_TOKENS;
  }

  /** Records the output length of a complete response. */
  recordOutput(
    workspace: string,
    served: { readonly class: string; readonly outputTokens: number },
  ): void {
    this.#observe(keyOf(workspace, served.class), served.outputTokens);
    this.#observe(keyOf("", served.class), served.outputTokens);
  }

  #observe(key: string, tokens: number): void {
    let quantile = this.#outputQuantiles.get(key);
    if (quantile === undefined) {
      // Names come from the table, but successive edits may introduce many.
      if (this.#outputQuantiles.size >= MAX_ENTRIES) {
        this.#outputQuantiles.clear();
      }
      quantile = new DecayedQuantile(OUTPUT_QUANTILE, QUANTILE_STEP);
      this.#outputQuantiles.set(key, quantile);
    }
    quantile.observe(tokens);
  }
}

function keyOf(workspace: string, className: string): string {
  return `${className}\n${workspace}`;
}
