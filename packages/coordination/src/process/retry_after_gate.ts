/**
 * Blocks calls to the store for as long as its `retry-after` header demands.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/** Limits the wait, so that a wrong header cannot block calls indefinitely. */
const MAX_WAIT_MS = 10_000;

/** Blocks calls of one kind until the time that the store demanded. */
export class RetryAfterGate {
  readonly #clock: Clock;
  #blockedUntil = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Returns the remaining wait in milliseconds; 0 if calls may be made. */
  remainingMs(): number {
    return Math.max(0, this.#blockedUntil - this.#clock.monotonic());
  }

  /** Records the `retry-after` header of a refusal. */
  recordResponse(
    response: { readonly status: number; readonly retryAfterMs?: number },
  ): void {
    if (response.status !== 429 && response.status !== 503) return;
    if (response.retryAfterMs === undefined) return;
    const waitMs = Math.min(response.retryAfterMs, MAX_WAIT_MS);
    this.#blockedUntil = Math.max(
      this.#blockedUntil,
      this.#clock.monotonic() + waitMs,
    );
  }
}
