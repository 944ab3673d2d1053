/**
 * Delays that Node's timers take.
 *
 * @module
 */

/** Longest delay of a timer, in ms; Node fires a longer one at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/**
 * Bounds a delay in ms whose size comes from outside: an infinite or longer one
 * becomes the longest of a timer, a negative one 0, and NaN the longest.
 *
 * @example
 * ```ts
 * setTimeout(expire, timerDelay(route.timeoutMs));
 * ```
 */
export function timerDelay(ms: number): number {
  if (Number.isNaN(ms)) return MAX_DELAY_MS;
  return Math.min(Math.max(ms, 0), MAX_DELAY_MS);
}
