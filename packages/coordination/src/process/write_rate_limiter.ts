/**
 * Limits the write rate of one partition, so that all partitions together stay
 * below the store's rate limit.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Clock } from "./clock.ts";

/** Number of writes that may be made without delay after an idle period. */
const BURST = 2;
const MAX_INTERVAL_MS = 1_000;
/**
 * Maximum factor by which conflicts lengthen the interval; two writers need no
 * more to let each other through.
 */
const MAX_CONFLICT_SLOWDOWN = 2;

/**
 * A token bucket whose interval doubles while the store refuses or fails, grows
 * a little with conflicts, and shrinks again with each success. Requests that
 * wait meanwhile join the next write, so batches grow as the store slows down.
 */
export class WriteRateLimiter {
  readonly #clock: Clock;
  readonly #minIntervalMs: number;
  #intervalMs: number;
  /**
   * Monotonic time of the next write's slot. If it is more than `BURST - 1`
   * intervals in the past, that time is used instead.
   */
  #nextAt = 0;

  constructor(clock: Clock, options: { readonly writesPerSecond: number }) {
    this.#clock = clock;
    this.#minIntervalMs = 1_000 / options.writesPerSecond;
    this.#intervalMs = this.#minIntervalMs;
  }

  /** Current interval between two writes under load, in milliseconds. */
  get intervalMs(): number {
    return this.#intervalMs;
  }

  /** Counts a write, and completes when it may be made. */
  acquire(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const waitMs = this.reserve();
      return waitMs === 0 ? Effect.void : Effect.sleep(waitMs);
    });
  }

  /**
   * Counts a write, and returns the time to wait before making it, in
   * milliseconds.
   */
  reserve(): number {
    const now = this.#clock.monotonic();
    const earliest = now - (BURST - 1) * this.#intervalMs;
    const slot = Math.max(this.#nextAt, earliest);
    this.#nextAt = slot + this.#intervalMs;
    return Math.max(0, slot - now);
  }

  /** Shortens the interval after a successful write. */
  recordSuccess(): void {
    this.#intervalMs = Math.max(this.#minIntervalMs, this.#intervalMs / 2);
  }

  /** Lengthens the interval after a conflict with another process. */
  recordConflict(): void {
    const maxMs = this.#minIntervalMs * MAX_CONFLICT_SLOWDOWN;
    const jitter = 1 + Math.random();
    const longer = Math.min(maxMs, this.#intervalMs * jitter);
    this.#intervalMs = Math.max(this.#intervalMs, longer);
  }

  /**
   * Lengthens the interval after a failed write, and makes no write before
   * `retryAfterMs` have passed.
   */
  recordFailure(retryAfterMs = 0): void {
    const doubled = Math.min(MAX_INTERVAL_MS, this.#intervalMs * 2);
    this.#intervalMs = Math.max(this.#minIntervalMs, doubled);
    const now = this.#clock.monotonic();
    this.#nextAt = Math.max(this.#nextAt, now + retryAfterMs);
  }
}
