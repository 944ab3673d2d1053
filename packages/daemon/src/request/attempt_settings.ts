/**
 * Limits of attempts, their answers and their retries.
 *
 * @module
 */

/** Limits that hold for each attempt; times in milliseconds. */
export interface AttemptSettings {
  /** For making a connection to a runner. */
  readonly connectMs: number;
  /** From the send to the first byte of a streamed answer. */
  readonly firstTokenMs: number;
  /** Between two pieces of a streamed answer. */
  readonly betweenTokensMs: number;
  /** From the send to the head of a whole answer, at most. */
  readonly wholeAnswerMs: number;
  /** Allowed for each token that a whole answer of an engine may have. */
  readonly wholeAnswerTokenMs: number;
  /** Between two pieces of a whole answer's body. */
  readonly bodyIdleMs: number;
  /** From asking for the rest of a stream to its head. */
  readonly resumeHeadMs: number;
  /** Seconds for which an engine keeps a dropped stream for a resume. */
  readonly resumableS: number;
  /** Resumes in a row that bring no token before the stream is given up. */
  readonly fruitlessResumes: number;
  /** Attempts of one request, the first included; resumes are not counted. */
  readonly attempts: number;
  /**
   * Largest whole answer that is held until it is known to be complete, in
   * bytes. Longer ones are passed on as they come, and a broken one ends in a
   * broken connection.
   */
  readonly heldAnswerBytes: number;
}

/** Used where settings name nothing else. */
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
