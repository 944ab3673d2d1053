/**
 * Schedules the state updates that a daemon sends.
 *
 * @module
 */

/** Intervals of a {@linkcode BroadcastTimer}. */
export interface BroadcastTiming {
  /** Minimum time between two updates at present, in ms. */
  intervalMs(): number;
  /** Time between two calls while nothing changes, in ms. */
  readonly idleMs: number;
  /** Called with the time in ms by which the timer was late. */
  readonly onDelay?: (ms: number) => void;
}

/** Calls back soon after a change, rate-limited, and periodically without one. */
export class BroadcastTimer {
  readonly #timing: BroadcastTiming;
  readonly #tick: () => void;
  #timer: NodeJS.Timeout | undefined;
  /**
   * Whether the timer is set for the next update rather than to the idle
   * interval.
   */
  #awake = false;
  #started = false;
  #tickedAt = -Infinity;
  #dueAt = -Infinity;

  constructor(timing: BroadcastTiming, tick: () => void) {
    this.#timing = timing;
    this.#tick = tick;
  }

  start(): void {
    this.#started = true;
    this.wake();
  }

  stop(): void {
    this.#started = false;
    clearTimeout(this.#timer);
  }

  /** Schedules an update: one interval after the last one, or at once. */
  wake(): void {
    if (!this.#started) return;
    const dueAt = this.#tickedAt + this.#timing.intervalMs();
    if (this.#awake && this.#dueAt <= dueAt) return;
    this.#awake = true;
    this.#schedule(Math.max(0, dueAt - performance.now()));
  }

  #schedule(ms: number): void {
    this.#dueAt = performance.now() + ms;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#awake = false;
      this.#tickedAt = performance.now();
      this.#timing.onDelay?.(this.#tickedAt - this.#dueAt);
      this.#tick();
      // A call of `wake` in the callback has already set the timer.
      if (!this.#awake) this.#schedule(this.#timing.idleMs);
    }, ms);
  }
}
