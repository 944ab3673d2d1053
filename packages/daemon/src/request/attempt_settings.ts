/**
 * Limits of attempts, their responses and their retries.
 *
 * @module
 */

/** Limits of each attempt; times in milliseconds. */
export interface AttemptSettings {
  /** Time-out for connecting to a runner. */
  readonly connectMs: number;
  /** Time-out from the send to the first byte of a streamed response. */
  readonly firstTokenMs: number;
  /** Time-out between two chunks of a streamed response. */
  readonly betweenTokensMs: number;
  /** Maximum time-out from the send to the head of a non-streamed response. */
  readonly wholeAnswerMs: number;
  /** Time allowed per token that an engine's non-streamed response may have. */
  readonly wholeAnswerTokenMs: number;
  /** Time-out between two chunks of a non-streamed response's body. */
  readonly bodyIdleMs: number;
  /** Time-out from a resume request to the head of its response. */
  readonly resumeHeadMs: number;
  /** Seconds for which an engine keeps a dropped stream for a resume. */
  readonly resumableS: number;
  /** Consecutive resumes without a token after which the attempt fails. */
  readonly fruitlessResumes: number;
  /** Attempts of one request, the first included; resumes are not counted. */
  readonly attempts: number;
  /**
   * Largest non-streamed response that is buffered until it is known to be
   * complete, in bytes. A longer response is relayed as it arrives; if it is
   * interrupted, the caller's connection is closed.
   */
  readonly heldAnswerBytes: number;
}

/** Default limits. */
export const DEFAULT_ATTEMPT_SETTINGS: AttemptSettings = {
  connectMs: 1_000,
  firstTokenMs: 10_000,
  betweenTokensMs: 2_000,
  wholeAnswerMs: 120_000,
  wholeAnswerTokenMs: 100,
  bodyIdleMs: 5_000,
  resumeHeadMs: 2_000,
  resumableS: 10,
  fruitlessResumes: 2,
  attempts: 3,
  heldAnswerBytes: 4_194_304,
};
