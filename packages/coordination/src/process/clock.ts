/**
 * Time, so that tests can set it.
 *
 * @module
 */

/** Two clocks: one that others share, one that never goes back. */
export interface Clock {
  /** Milliseconds since the epoch; may jump. */
  now(): number;
  /** Milliseconds since some moment of this process; never goes back. */
  monotonic(): number;
}

/**
 * The machine's clocks.
 *
 * @example
 * ```ts
 * const started = SYSTEM_CLOCK.monotonic();
 * const elapsedMs = SYSTEM_CLOCK.monotonic() - started;
 * ```
 */
export const SYSTEM_CLOCK: Clock = {
  now: () => Date.now(),
  monotonic: () => performance.now(),
};
