/**
 * Clocks, as an interface that tests can control.
 *
 * @module
 */

/** A wall clock and a monotonic clock. */
export interface Clock {
  /** Wall-clock time in milliseconds since the epoch; may jump. */
  now(): number;
  /** Milliseconds since an arbitrary time in this process; never decreases. */
  monotonic(): number;
}

/**
 * The clocks of the machine.
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

/** A time on both clocks. */
export interface Timestamp {
  readonly monotonic: number;
  readonly wall: number;
}

/** Returns the current time on both clocks. */
export function timestampOf(clock: Clock): Timestamp {
  return { monotonic: clock.monotonic(), wall: clock.now() };
}

/**
 * Returns the milliseconds since a timestamp: the larger of the times on the two
 * clocks. The monotonic clock does not advance while a whole machine is
 * suspended, so the holder of a lease would not notice the suspension; the wall
 * clock is set right after it. A wall clock that jumps ahead by mistake only
 * makes the caller too careful.
 */
export function elapsedSince(timestamp: Timestamp, clock: Clock): number {
  return Math.max(
    clock.monotonic() - timestamp.monotonic,
    clock.now() - timestamp.wall,
  );
}
