/**
 * Notices that this process was paused.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";

/** A longer gap between two looks means that this process was paused. */
const PAUSE_THRESHOLD_MS = 1_500;

/** Watches the time between looks, of which there must be several a second. */
export class PauseDetector {
  readonly #clock: Clock;
  #checkedAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#checkedAt = clock.monotonic();
  }

  /** Milliseconds that the process was paused before this look; 0 if it was not. */
  check(): number {
    const now = this.#clock.monotonic();
    const gap = now - this.#checkedAt;
    this.#checkedAt = now;
    return gap > PAUSE_THRESHOLD_MS ? Math.round(gap) : 0;
  }
}
