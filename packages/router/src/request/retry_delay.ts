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
 * their target and go before all that came later, so each takes the start of a
 * request that could still meet its own. In a burst of three times what is served
 * (request_return_test.ts), 566 of 744 requests met their targets with 0.35, 309
 * with 1.
 */
const RETURN_SHARE = 0.35;
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
  /**
   * Places with a promised start that were given in the past `latestStartMs`,
   * whether or not their callers have returned.
   */
  readonly given: number;
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

/** Latest time in ms at which a request can be started and its response complete. */
export function latestStartMs(
  { remainingMs, responseMs }: Pick<ReturnInputs, "remainingMs" | "responseMs">,
): number {
  return Math.max(0, remainingMs - responseMs);
}

/** When a refused request may return. */
export interface ReturnDecision {
  /** Retry delay in ms that the caller is told. */
  readonly delayMs: number;
  /** Expected time in ms until the request can be started; undefined if unknown. */
  readonly turnMs: number | undefined;
  /**
   * The place that the request has when it returns: `promised`, before all that
   * came after its first try; `kept`, before those of them that can no longer
   * start on time; or none, because it is too `late` to be served.
   */
  readonly place: "promised" | "kept" | "late";
}

/**
 * Decides when the caller of a refused request should come back.
 *
 * The load that it answers: a burst of up to three times what is served, for 3 to
 * 9 s, from callers that have one retry and honour a third of their remaining
 * time. A share of the starts is promised to them in turn: each gets the time at
 * which its turn comes, from the rate at which the queue drains, the requests ahead
 * and the places promised to others. Turns beyond the longest delay that callers
 * honour are mapped to different delays below it, in the order of the places; the
 * rest of the time is waited at the daemon. Once the promised starts are given for
 * as long as a caller has, the next ones return as late as they can, for the end of
 * the burst, and one that even all starts would serve too late has no place.
 */
export function decideReturn(inputs: ReturnInputs): ReturnDecision {
  const { remainingMs, drainPerS, spread } = inputs;
  const maxDelayMs = MAX_RETRY_DELAY_SHARE * Math.max(0, remainingMs);
  const latestMs = latestStartMs(inputs);
  if (drainPerS === undefined) {
    const delayMs = maxDelayMs * (1 - spread / 2);
    const place = delayMs < latestMs ? "kept" : "late";
    return { delayMs, turnMs: undefined, place };
  }
  const { ahead, promised } = inputs;
  const startMs = MS_PER_SECOND / drainPerS;
  const earliestMs = (ahead + promised + 1) * startMs;
  if (earliestMs > latestMs) {
    const delayMs = Math.min(
      MAX_TOLD_DELAY_MS,
      Math.max(earliestMs, remainingMs),
    );
    return { delayMs, turnMs: earliestMs, place: "late" };
  }
  const turnMs = (ahead + (promised + 1) / RETURN_SHARE) * startMs;
  const givable = RETURN_SHARE * latestMs / startMs;
  if (inputs.given >= givable || turnMs > latestMs) {
    return { delayMs: maxDelayMs * (1 - spread / 2), turnMs, place: "kept" };
  }
  const unseenMs = spread * inputs.unseen * startMs / RETURN_SHARE;
  const shortestMs = (1 + spread) * Math.max(
    MIN_RETRY_DELAY_MS,
    MIN_DELAY_PROPAGATION_FACTOR * inputs.propagationMs,
  );
  const delayMs = belowMaximum(
    Math.max(turnMs + unseenMs, shortestMs),
    maxDelayMs,
  );
  return { delayMs, turnMs, place: "promised" };
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

/**
 * Maps a time to one below a maximum: times up to half of it stay, and longer
 * ones approach it in their order, so that they remain apart.
 */
function belowMaximum(timeMs: number, maxMs: number): number {
  if (timeMs <= maxMs / 2) return timeMs;
  return maxMs * (1 - maxMs / (4 * timeMs));
}
