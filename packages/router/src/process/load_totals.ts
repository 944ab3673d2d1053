/**
 * The load that daemons put on a runner, and its arithmetic.
 *
 * @module
 */

/** Whole answers of a runner. */
export interface ResponseCounts {
  /** Whole answers that daemons have had from the runner since they began. */
  readonly answered: number;
  /** Those of them that were failures of the runner. */
  readonly failed: number;
}

/** Load that one daemon, or some together, put on a runner. */
export interface LoadTotals extends ResponseCounts {
  readonly inFlight: number;
  /** Prompt tokens of requests that have no first event yet. */
  readonly unreadTokens: number;
  /** Prompt tokens that the runner read, or will, for all that is in flight. */
  readonly workTokens: number;
  /** Tokens that all that is in flight may come to hold in memory. */
  readonly memoryTokens: number;
  /** Streams that bear only short pauses. */
  readonly tight: number;
}

/** No load at all. */
export const NO_LOAD: LoadTotals = {
  inFlight: 0,
  unreadTokens: 0,
  workTokens: 0,
  memoryTokens: 0,
  tight: 0,
  answered: 0,
  failed: 0,
};

/** Two loads together. */
export function addLoads(one: LoadTotals, other: LoadTotals): LoadTotals {
  return {
    inFlight: one.inFlight + other.inFlight,
    unreadTokens: one.unreadTokens + other.unreadTokens,
    workTokens: one.workTokens + other.workTokens,
    memoryTokens: one.memoryTokens + other.memoryTokens,
    tight: one.tight + other.tight,
    answered: one.answered + other.answered,
    failed: one.failed + other.failed,
  };
}

/** What is left of a load without another one. */
export function subtractLoads(one: LoadTotals, other: LoadTotals): LoadTotals {
  return {
    inFlight: one.inFlight - other.inFlight,
    unreadTokens: one.unreadTokens - other.unreadTokens,
    workTokens: one.workTokens - other.workTokens,
    memoryTokens: one.memoryTokens - other.memoryTokens,
    tight: one.tight - other.tight,
    answered: one.answered - other.answered,
    failed: one.failed - other.failed,
  };
}
