/**
 * Load totals that daemons exchange per runner, and their arithmetic.
 *
 * @module
 */

/** Counts of complete responses from a runner. */
export interface ResponseCounts {
  /**
   * Complete responses, failed ones included, from the runner to the daemons that
   * are counted, since those daemons started.
   */
  readonly answered: number;
  /** Complete responses that reported a failure of the runner. */
  readonly failed: number;
}

/** Load that one daemon, or several together, put on a runner. */
export interface LoadTotals extends ResponseCounts {
  readonly inFlight: number;
  /** Prompt tokens to be prefilled, of requests whose first event is awaited. */
  readonly unreadTokens: number;
  /**
   * Prompt tokens to be prefilled, of all requests in flight, including those
   * whose prefill is over.
   */
  readonly workTokens: number;
  /**
   * Maximum number of tokens that the requests in flight may hold together in the
   * KV cache.
   */
  readonly memoryTokens: number;
  /**
   * Number of streams with a tight event-gap target, i.e. a short target for the
   * time between two events (see `isTight`).
   */
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

/** Subtracts a part of a load from it. */
export function subtractLoads(load: LoadTotals, part: LoadTotals): LoadTotals {
  return {
    inFlight: load.inFlight - part.inFlight,
    unreadTokens: load.unreadTokens - part.unreadTokens,
    workTokens: load.workTokens - part.workTokens,
    memoryTokens: load.memoryTokens - part.memoryTokens,
    tightStreams: load.tightStreams - part.tightStreams,
    answered: load.answered - part.answered,
    failed: load.failed - part.failed,
  };
}
