/**
 * Estimation of prefill times.
 *
 * @module
 */

/** Prompt tokens that an engine prefills per ms, beside its other work. */
const PREFILL_TOKENS_PER_MS = 50;

/** Estimated prefill time of prompt tokens, in ms. */
export function prefillMs(tokens: number): number {
  return tokens / PREFILL_TOKENS_PER_MS;
}
