/**
 * Refusals of asks, each with a suggested retry delay.
 *
 * @module
 */
import type { Ask, Refusal } from "./ask.ts";

const NO_RUNNER_RETRY_MS = 1_000;
const LEAVING_RETRY_MS = 100;

/** Refuses an ask that no live runner may serve. */
export function noRunner(ask: Ask): Refusal {
  return {
    _tag: "Refusal",
    code: "no_runner",
    message: `Cannot serve the request: service "${ask.service}" has no runner`,
    retryAfterMs: NO_RUNNER_RETRY_MS,
  };
}

/** Refuses an ask because the queue is full. */
export function queueFull(ask: Ask, retryAfterMs: number): Refusal {
  return {
    _tag: "Refusal",
    code: "queue_full",
    message:
      `Cannot serve the request: the queue of class "${ask.class}" is full`,
    retryAfterMs,
  };
}

/** Refuses an ask whose deadline has passed, or will pass before a slot is free. */
export function deadlinePassed(ask: Ask, retryAfterMs: number): Refusal {
  return {
    _tag: "Refusal",
    code: "deadline_passed",
    message:
      `Cannot serve the request: no slot comes before the timeout of class "${ask.class}"`,
    retryAfterMs,
  };
}

/** Refuses an ask because this daemon is shutting down. */
export function leaving(): Refusal {
  return {
    _tag: "Refusal",
    code: "leaving",
    message: "Cannot serve the request: this daemon is leaving",
    retryAfterMs: LEAVING_RETRY_MS,
  };
}

const MESSAGES: Readonly<
  Record<Exclude<Refusal["code"], "no_runner" | "deadline_passed">, string>
> = {
  queue_full: "the queue has no room for it",
  limit_reached: "its workspace has reached its limit",
  leaving: "this daemon is leaving",
};

/**
 * Builds the refusal that a broker has sent. A timeout expires at the broker and
 * at the entry daemon at the same moment, so both produce the same message,
 * whichever comes first.
 */
export function refusalOf(
  ask: Ask,
  code: Refusal["code"],
  options: { readonly retryAfterMs: number },
): Refusal {
  if (code === "no_runner") return noRunner(ask);
  if (code === "deadline_passed") {
    return deadlinePassed(ask, options.retryAfterMs);
  }
  return {
    _tag: "Refusal",
    code,
    message: `Cannot serve the request of class "${ask.class}": ${
      MESSAGES[code]
    }`,
    retryAfterMs: options.retryAfterMs,
  };
}
