/**
 * Detection of pauses of this process.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";

/** A longer interval between two checks means that this process was paused. */
const PAUSE_THRESHOLD_MS = 1_500;

/** Measures the time between checks, which must be made several times a second. */
export class PauseDetector {
  readonly #clock: Clock;
  #checkedAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#checkedAt = clock.monotonic();
  }

  /** Milliseconds for which the process was paused before this check, or 0. */
  check(): number {
    const now = this.#clock.monotonic();
    const gap = now - this.#checkedAt;
    this.#checkedAt = now;
    return gap > PAUSE_THRESHOLD_MS ? Math.round(gap) : 0;
  }
}
