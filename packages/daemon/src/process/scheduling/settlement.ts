/**
 * Result of an attempt that held a slot.
 *
 * @module
 */

/** Outcome, token counts and latencies of an attempt, as observed by the sender. */
export interface Settlement {
  readonly outcome: "complete" | "cancelled" | "refused" | "failed" | "silent";
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Milliseconds from sending to the first token; absent if there was none. */
  readonly firstTokenMs?: number;
  /** Mean milliseconds between tokens; absent with fewer than two. */
  readonly betweenTokensMs?: number;
}
