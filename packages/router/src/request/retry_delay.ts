/**
 * Decides when the caller of a refused request should come back.
 *
 * @module
 */

/**
 * Maximum share of a caller's remaining time that the retry delay takes. Callers
 * honour no more than a third of it; the margin is for the way to the caller.
 */
export const MAX_RETRY_DELAY_SHARE = 0.33;
/** Minimum retry delay in ms; a spread by place adds up to as much again. */
export const MIN_RETRY_DELAY_MS = 250;
/**
 * Minimum retry delay as a multiple of the propagation time, so that the place is
 * known at the daemon to which the caller returns.
 */
const MIN_DELAY_PROPAGATION_FACTOR = 1.5;
/**
 * Share of the starts that is promised to returning callers. They have missed
 * their target and stand before all that came later: with all starts promised,
 * three times the load of what is served left no request that met its target.
 */
const RETURN_SHARE = 0.5;
/**
 * Factor by which a wait must exceed what the caller can wait before the request
 * is refused at once. The rate is known to about a factor of two while few
 * requests have ended.
 */
const HOPELESS_FACTOR = 2;
/** Longest retry delay in ms that is told to a caller that cannot be served. */
const MAX_TOLD_DELAY_MS = 60_000;

const MS_PER_SECOND = 1_000;

/** What is known of the queue in which a request stands. */
export interface QueueOutlook {
  /**
   * Requests of its rank, and of those before it, that are started in a second;
   * undefined while unknown.
   */
  readonly drainPerS: number | undefined;
  /** Waiting requests that go before it, at all daemons. */
  readonly ahead: number;
  /** Places of others that are still expected to return. */
  readonly promised: number;
}

/** Inputs of the decision when a refused request may return. */
export interface ReturnInputs extends QueueOutlook {
  /** Milliseconds that the caller has left. */
  readonly remainingMs: number;
  /** Milliseconds that the response takes once the request is started. */
  readonly responseMs: number;
  /** Milliseconds within which a change reaches all daemons. */
  readonly propagationMs: number;
  /**
   * Places that other daemons have probably given and that have not reached this
   * one.
   */
  readonly unseen: number;
  /** Number in [0, 1) that is the same for each try of the request. */
  readonly spread: number;
}

/** When a refused request may return. */
export interface ReturnDecision {
  /** Retry delay in ms that the caller is told. */
  readonly delayMs: number;
  /** Expected time in ms until the request can be started; undefined if unknown. */
  readonly turnMs: number | undefined;
  /** Whether the request keeps its place; false if it cannot be served in time. */
  readonly keepsPlace: boolean;
}

/**
 * Decides when the caller of a refused request should come back.
 *
 * The load that it answers: a burst of up to three times what is served, for 3 to
 * 9 s, from callers that have one retry and honour a third of their remaining
 * time. Each gets the time at which its turn comes, from the rate at which the
 * queue drains, the requests ahead and the places promised to others. Turns
 * beyond the longest delay that callers honour are mapped to different delays
 * below it, in the order of the places; the rest of the time is waited at the
 * daemon. A caller whose turn comes too late for a response gets no place.
 */
export function decideReturn(inputs: ReturnInputs): ReturnDecision {
  const { remainingMs, responseMs, drainPerS, spread } = inputs;
  const maxDelayMs = MAX_RETRY_DELAY_SHARE * Math.max(0, remainingMs);
  const latestStartMs = remainingMs - responseMs;
  if (drainPerS === undefined) {
    const delayMs = maxDelayMs * (1 - spread / 2);
    return { delayMs, turnMs: undefined, keepsPlace: delayMs < latestStartMs };
  }
  const turnMs = returnTurnMs({ ...inputs, drainPerS });
  if (turnMs > latestStartMs) {
    const delayMs = Math.min(
      MAX_TOLD_DELAY_MS,
      Math.max(turnMs, remainingMs),
    );
    return { delayMs, turnMs, keepsPlace: false };
  }
  const unseenMs = spread * inputs.unseen * MS_PER_SECOND /
    (RETURN_SHARE * drainPerS);
  const shortestMs = (1 + spread) * Math.max(
    MIN_RETRY_DELAY_MS,
    MIN_DELAY_PROPAGATION_FACTOR * inputs.propagationMs,
  );
  const delayMs = belowMaximum(
    Math.max(turnMs + unseenMs, shortestMs),
    maxDelayMs,
  );
  return { delayMs, turnMs, keepsPlace: true };
}

/**
 * Whether a request would wait much longer than its caller can, so that it is
 * refused at once instead of at the end of the wait.
 *
 * @param waitMs milliseconds for which the request may wait.
 */
export function isHopeless(
  { drainPerS, ahead, promised }: QueueOutlook,
  waitMs: number,
): boolean {
  if (drainPerS === undefined) return false;
  const turnMs = (ahead + promised) * MS_PER_SECOND / drainPerS;
  return turnMs > HOPELESS_FACTOR * waitMs;
}

/** Time in ms until the turn of a request that returns after the promised ones. */
function returnTurnMs(
  { ahead, promised, drainPerS }: QueueOutlook & { readonly drainPerS: number },
): number {
  const starts = ahead + (promised + 1) / RETURN_SHARE;
  return starts * MS_PER_SECOND / drainPerS;
}

/**
 * Maps a time to one below a maximum: times up to half of it stay, and longer
 * ones approach it in their order, so that they remain apart.
 */
function belowMaximum(timeMs: number, maxMs: number): number {
  if (timeMs <= maxMs / 2) return timeMs;
  return maxMs * (1 - maxMs / (4 * timeMs));
}
