/**
 * Refusals of requests that have not run, and when their callers may return.
 *
 * @module
 */
import type { Refusal } from "./caller.ts";

/** Milliseconds after which a refused caller may come back; spread by as much. */
const RETRY_AFTER_MS = 250;
/** Part of its time that a caller will stay away when told so. */
const RETURN_SHARE = 0.33;

const UNAVAILABLE = 503;

/**
 * Refuses what another daemon, or this one in a moment, may well serve.
 *
 * @param point in [0, 1), from a random number generator.
 */
export function unavailableRefusal(code: string, point: number): Refusal {
  const retryAfterMs = RETRY_AFTER_MS * (1 + point);
  return { status: UNAVAILABLE, code, retryAfterMs };
}

/**
 * Refuses what has ended the runners that ran it. It would end the next one too,
 * so there is no use in coming back before that may have changed.
 *
 * @param leftMs time for which it is not sent.
 */
export function quarantineRefusal(leftMs: number): Refusal {
  return { status: UNAVAILABLE, code: "quarantined", retryAfterMs: leftMs };
}

/**
 * Sends the caller away for as long as it will wait: overload lasts seconds,
 * and callers that come back at once find the same.
 *
 * @param leftMs time that the caller has left.
 * @param point in [0, 1), from a random number generator.
 */
export function overloadRefusal(leftMs: number, point: number): Refusal {
  const retryAfterMs = leftMs * RETURN_SHARE * (1 - point / 2);
  return { status: UNAVAILABLE, code: "overloaded", retryAfterMs };
}
