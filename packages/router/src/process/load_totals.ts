/**
 * Load totals that daemons exchange per runner, and their arithmetic.
 *
 * @module
 */

/** Counts of complete responses from a runner. */
export interface ResponseCounts {
  /** Complete responses from the runner to these daemons since they started. */
  readonly answered: number;
  /** Complete responses that reported a failure of the runner. */
  readonly failed: number;
}

/** Load that one daemon, or several together, put on a runner. */
export interface LoadTotals extends ResponseCounts {
  readonly inFlight: number;
  /** Prompt tokens of requests without a first event yet. */
  readonly unreadTokens: number;
  /** Prompt tokens prefilled, now or later, for all requests in flight. */
  readonly workTokens: number;
  /** Most tokens that all requests in flight may hold in the KV cache. */
  readonly memoryTokens: number;
  /** Streams with a tight event-gap target. */
  readonly tightStreams: number;
}

/** Zero load. */
export const NO_LOAD: LoadTotals = {
  inFlight: 0,
  unreadTokens: 0,
  workTokens: 0,
  memoryTokens: 0,
  tightStreams: 0,
  answered: 0,
  failed: 0,
};

/** Adds two loads. */
export function addLoads(one: LoadTotals, other: LoadTotals): LoadTotals {
  return {
    inFlight: one.inFlight + other.inFlight,
    unreadTokens: one.unreadTokens + other.unreadTokens,
    workTokens: one.workTokens + other.workTokens,
    memoryTokens: one.memoryTokens + other.memoryTokens,
    tightStreams: one.tightStreams + other.tightStreams,
    answered: one.answered + other.answered,
    failed: one.failed + other.failed,
  };
}

/** Subtracts the second load from the first. */
export function subtractLoads(one: LoadTotals, other: LoadTotals): LoadTotals {
  return {
    inFlight: one.inFlight - other.inFlight,
    unreadTokens: one.unreadTokens - other.unreadTokens,
    workTokens: one.workTokens - other.workTokens,
    memoryTokens: one.memoryTokens - other.memoryTokens,
    tightStreams: one.tightStreams - other.tightStreams,
    answered: one.answered - other.answered,
    failed: one.failed - other.failed,
  };
}
