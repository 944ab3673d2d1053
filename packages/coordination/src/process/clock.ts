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

/** A moment by both clocks. */
export interface Timestamp {
  readonly monotonic: number;
  readonly wall: number;
}

/** The present moment. */
export function timestampOf(clock: Clock): Timestamp {
  return { monotonic: clock.monotonic(), wall: clock.now() };
}

/**
 * Milliseconds since a moment, by the clock that shows more. The clock that
 * never goes back stands still while a whole machine is suspended, and whoever
 * acts under a lease would not notice; the shown one is set right after that. A
 * shown time that jumps ahead by mistake only makes the caller too careful.
 */
export function elapsedSince(moment: Timestamp, clock: Clock): number {
  return Math.max(
    clock.monotonic() - moment.monotonic,
    clock.now() - moment.wall,
  );
}
