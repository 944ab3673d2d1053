/**
 * Paces the writes of one partition, so that all stay under the store's rate.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Clock } from "./clock.ts";

/** Writes that may follow each other at once after an idle time. */
const BURST = 2;
const LONGEST_INTERVAL_MS = 1_000;
/** Two writers need not be slow to let each other through. */
const MOST_GROWTH_BY_CONFLICT = 2;

/**
 * A token bucket whose interval doubles while the store refuses or fails, grows
 * a little with conflicts, and shrinks back with each success. What waits meanwhile
 * joins the next write, so the batch grows as the store gets slower.
 */
export class WriteBudget {
  readonly #clock: Clock;
  readonly #baseMs: number;
  #intervalMs: number;
  /** When the bucket would be full of unused turns. */
  #nextAt = 0;

  constructor(clock: Clock, options: { readonly writesPerSecond: number }) {
    this.#clock = clock;
    this.#baseMs = 1_000 / options.writesPerSecond;
    this.#intervalMs = this.#baseMs;
  }

  /** Present time between two writes under load, in milliseconds. */
  get intervalMs(): number {
    return this.#intervalMs;
  }

  /** Ends when a write may be made, and counts it. */
  take(): Effect.Effect<void> {
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
  succeeded(): void {
    this.#intervalMs = Math.max(this.#baseMs, this.#intervalMs / 2);
  }

  /** Another process wrote first. */
  conflicted(): void {
    const most = this.#baseMs * MOST_GROWTH_BY_CONFLICT;
    const jitter = 1 + Math.random();
    const longer = Math.min(most, this.#intervalMs * jitter);
    this.#intervalMs = Math.max(this.#intervalMs, longer);
  }

  /** The store did not take a write. */
  failed(retryAfterMs = 0): void {
    const doubled = Math.min(LONGEST_INTERVAL_MS, this.#intervalMs * 2);
    this.#intervalMs = Math.max(this.#baseMs, doubled);
    const now = this.#clock.monotonic();
    this.#nextAt = Math.max(this.#nextAt, now + retryAfterMs);
  }
}
