/**
 * Refusals of requests that have not run, with the time of a retry.
 *
 * @module
 */
import type { Refusal } from "./caller.ts";

/** Minimum retry delay in ms; random jitter adds up to as much again. */
const RETRY_AFTER_MS = 250;
/**
 * Share of its remaining time that a caller stays away at most when told to
 * retry later.
 */
const RETURN_SHARE = 0.33;

const UNAVAILABLE = 503;

/**
 * Refuses a request that another daemon, or this one in a moment, can probably
 * serve.
 *
 * @param jitter random number in [0, 1).
 */
export function unavailableRefusal(code: string, point: number): Refusal {
  const retryAfterMs = RETRY_AFTER_MS * (1 + point);
  return { status: UNAVAILABLE, code, retryAfterMs };
}

/**
 * Refuses a request that crashed the runners that ran it. It would crash the
 * next one too, so a retry makes no sense before the quarantine ends.
 *
 * @param remainingMs milliseconds until the quarantine ends.
 */
export function quarantineRefusal(leftMs: number): Refusal {
  return { status: UNAVAILABLE, code: "quarantined", retryAfterMs: leftMs };
}

/**
 * Refuses a request because of overload. The retry delay is a share of the
 * caller's remaining time: overload lasts seconds, and callers that retry at
 * once are refused again.
 *
 * @param remainingMs milliseconds that the caller has left.
 * @param jitter random number in [0, 1).
 */
export function overloadRefusal(leftMs: number, point: number): Refusal {
  const retryAfterMs = leftMs * RETURN_SHARE * (1 - point / 2);
  return { status: UNAVAILABLE, code: "overloaded", retryAfterMs };
}
