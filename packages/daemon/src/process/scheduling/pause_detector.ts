/**
 * Notices that this process was paused.
 *
 * @module
 */
import type { Clock } from "@umbermast/coordination";

/** A longer gap between two looks means that this process was paused. */
const PAUSE_MS = 1_500;

/** Watches the time between looks, of which there must be several a second. */
export class PauseWatch {
  readonly #clock: Clock;
  #lookedAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lookedAt = clock.monotonic();
  }

  /** Milliseconds that the process was paused before this look; 0 if it was not. */
  look(): number {
    const now = this.#clock.monotonic();
    const gap = now - this.#lookedAt;
    this.#lookedAt = now;
    return gap > PAUSE_MS ? Math.round(gap) : 0;
  }
}
