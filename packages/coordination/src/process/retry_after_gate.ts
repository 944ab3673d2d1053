/**
 * Remembers how long the store asked to be left alone.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/** Bounds what a store may ask for, so that a wrong header cannot stop us for good. */
const MAX_WAIT_MS = 10_000;

/** Time until which no call of a kind may be made. */
export class RetryAfterGate {
  readonly #clock: Clock;
  #until = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Milliseconds left to wait; 0 when calls may be made. */
  remainingMs(): number {
    return Math.max(0, this.#until - this.#clock.monotonic());
  }

  /** Takes note of the `retry-after` of a refusal. */
  recordResponse(
    reply: { readonly status: number; readonly retryAfterMs?: number },
  ): void {
    if (reply.status !== 429 && reply.status !== 503) return;
    if (reply.retryAfterMs === undefined) return;
    const holdMs = Math.min(reply.retryAfterMs, MAX_WAIT_MS);
    this.#until = Math.max(this.#until, this.#clock.monotonic() + holdMs);
  }
}
