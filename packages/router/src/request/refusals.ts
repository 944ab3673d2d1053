/**
 * Refusals of requests that have not run, with a retry delay.
 *
 * @module
 */
import type { Refusal } from "./refusal.ts";

/** Minimum retry delay in ms; random jitter adds up to as much again. */
const MIN_RETRY_DELAY_MS = 250;
/**
 * Maximum share of a caller's remaining time that the retry delay takes.
 */
const MAX_RETRY_DELAY_SHARE = 0.33;

const SERVICE_UNAVAILABLE = 503;

/**
 * Refuses a request that another daemon, or this one in a moment, can probably
 * serve.
 *
 * @param jitter random number in [0, 1).
 */
export function unavailableRefusal(code: string, jitter: number): Refusal {
  const retryAfterMs = MIN_RETRY_DELAY_MS * (1 + jitter);
  return { status: SERVICE_UNAVAILABLE, code, retryAfterMs };
}

/**
 * Refuses a request that crashed the runners that ran it. It would crash the
 * next one too, so a retry makes no sense before the quarantine ends.
 *
 * @param remainingMs milliseconds until the quarantine ends.
 */
export function quarantineRefusal(remainingMs: number): Refusal {
  return {
    status: SERVICE_UNAVAILABLE,
    code: "quarantined",
    retryAfterMs: remainingMs,
  };
}

/**
 * Refuses a request that has been read too late before this daemon exits. Another one
 * takes it at once.
 */
export function leavingRefusal(): Refusal {
  const status = SERVICE_UNAVAILABLE;
  return { status, code: "leaving", retryAfterMs: 0, close: true };
}

/**
 * Refuses a request because of overload. The retry delay is a share of the
 * caller's remaining time: overload lasts seconds, and callers that retry at
 * once are refused again.
 *
 * @param remainingMs milliseconds that the caller has left.
 * @param jitter random number in [0, 1).
 */
export function overloadRefusal(remainingMs: number, jitter: number): Refusal {
  const retryAfterMs = remainingMs * MAX_RETRY_DELAY_SHARE * (1 - jitter / 2);
  return { status: SERVICE_UNAVAILABLE, code: "overloaded", retryAfterMs };
}
