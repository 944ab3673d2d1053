/**
 * Predicts whether a response can finish in time.
 *
 * @module
 */
import { urgencyFactor } from "./admission.ts";

/** Properties of a response that are known before its request is sent. */
export interface ExpectedResponse {
  /** Milliseconds until the caller disconnects or gets a time-out. */
  readonly remainingMs: number;
  /** Milliseconds in which the runner prefills the rest of the prompt. */
  readonly prefillMs: number;
  /** Tokens that the caller expects in the response; 0 if it states none. */
  readonly outputTokens: number;
  /** Number of less urgent ranks. */
  readonly lessUrgentRanks: number;
  /**
   * Current milliseconds per token at the runner; `undefined` while unknown.
   */
  readonly msPerToken: number | undefined;
}

/**
 * Whether a response would probably finish in time at its runner's current
 * pace.
 *
 * The check sheds load in a burst in which engines prefill back to back and
 * streams slow down to a fifth of their pace. Without it, 769 of 3,915 long
 * responses were cut off at their callers' deadlines, and the work on them was
 * lost to the requests that waited. An urgent response may appear to need more
 * time than there is: less urgent ones are refused before it, and its runner's
 * pace then recovers. The caller's expectation is right at the median, so a
 * response that is refused here had less than an even chance.
 *
 * @example
 * ```ts
 * finishesInTime({ remainingMs: 4_000, prefillMs: 10, outputTokens: 200,
 *   msPerToken: 40, lessUrgentRanks: 0 }); // false
 * ```
 */
export function finishesInTime(expected: ExpectedResponse): boolean {
  const {
    remainingMs,
    prefillMs,
    outputTokens,
    msPerToken,
    lessUrgentRanks,
  } = expected;
  if (msPerToken === undefined) return true;
  const neededMs = prefillMs + outputTokens * msPerToken;
  return neededMs <= remainingMs * urgencyFactor(lessUrgentRanks);
}
