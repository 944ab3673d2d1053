/**
 * Paces the writes of one partition, so that all stay under the store's rate.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Clock } from "./clock.ts";

/** Writes that may follow each other at once after an idle time. */
const BURST = 2;
const MAX_INTERVAL_MS = 1_000;
/** Two writers need not be slow to let each other through. */
const MAX_CONFLICT_SLOWDOWN = 2;

/**
 * A token bucket whose interval doubles while the store refuses or fails, grows
 * a little with conflicts, and shrinks back with each success. What waits meanwhile
 * joins the next write, so the batch grows as the store gets slower.
 */
export class WriteRateLimiter {
  readonly #clock: Clock;
  readonly #minIntervalMs: number;
  #intervalMs: number;
  /** When the bucket would be full of unused turns. */
  #nextAt = 0;

  constructor(clock: Clock, options: { readonly writesPerSecond: number }) {
    this.#clock = clock;
    this.#minIntervalMs = 1_000 / options.writesPerSecond;
    this.#intervalMs = this.#minIntervalMs;
  }

  /** Present time between two writes under load, in milliseconds. */
  get intervalMs(): number {
    return this.#intervalMs;
  }

  /** Ends when a write may be made, and counts it. */
  acquire(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const waitMs = this.reserve();
      return waitMs === 0 ? Effect.void : Effect.sleep(waitMs);
    });
  }

  /** Counts a write, and returns how long to wait before making it. */
  reserve(): number {
    const now = this.#clock.monotonic();
    const earliest = now - (BURST - 1) * this.#intervalMs;
    const turn = Math.max(this.#nextAt, earliest);
    this.#nextAt = turn + this.#intervalMs;
    return Math.max(0, turn - now);
  }

  /** The store took a write. */
  recordSuccess(): void {
    this.#intervalMs = Math.max(this.#minIntervalMs, this.#intervalMs / 2);
  }

  /** Another process wrote first. */
  recordConflict(): void {
    const most = this.#minIntervalMs * MAX_CONFLICT_SLOWDOWN;
    const jitter = 1 + Math.random();
    const longer = Math.min(most, this.#intervalMs * jitter);
    this.#intervalMs = Math.max(this.#intervalMs, longer);
  }

  /** The store did not take a write. */
  recordFailure(retryAfterMs = 0): void {
    const doubled = Math.min(MAX_INTERVAL_MS, this.#intervalMs * 2);
    this.#intervalMs = Math.max(this.#minIntervalMs, doubled);
    const now = this.#clock.monotonic();
    this.#nextAt = Math.max(this.#nextAt, now + retryAfterMs);
  }
}
