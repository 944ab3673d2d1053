/**
 * How an attempt that held a slot ended.
 *
 * @module
 */

/** What an attempt used and how it went, as its sender observed it. */
export interface Settlement {
  readonly outcome: "complete" | "cancelled" | "refused" | "failed" | "silent";
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Milliseconds from the send to the first token; absent if none came. */
  readonly firstTokenMs?: number;
  /** Mean milliseconds between tokens; absent with fewer than two. */
  readonly betweenTokensMs?: number;
}
