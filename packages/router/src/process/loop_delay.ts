/**
 * Recent delay of this process, by the lateness of its timers.
 *
 * @module
 */

/** Time in ms for which the longest delay counts. */
const HOLD_MS = 500;

/**
 * Remembers the longest recent delay of this process. Times that it measures may
 * be wrong by as much: events are handled late while it lacks processor time.
 *
 * @example
 * ```ts
 * delay.record(70, now); // a timer fired 70 ms late
 * delay.recentMs(now + 100); // 70
 * ```
 */
export class LoopDelay {
  #ms = 0;
  #at = -Infinity;

  /**
   * Records a timer that fired.
   *
   * @param ms time in ms by which it was late.
   * @param now monotonic time in ms.
   */
  record(ms: number, now: number): void {
    if (ms < this.recentMs(now)) return;
    this.#ms = ms;
    this.#at = now;
  }

  /** The longest delay of the last half second, in ms. */
  recentMs(now: number): number {
    return now - this.#at < HOLD_MS ? this.#ms : 0;
  }
}
