/**
 * When a daemon tells others what has changed.
 *
 * @module
 */

/** When to tell, in ms. */
export interface BroadcastTiming {
  /** Shortest time between two states now. */
  intervalMs(): number;
  /** Time between two looks while nothing changes. */
  readonly idleMs: number;
}

/** Calls back soon after something has changed, and now and then. */
export class BroadcastTimer {
  readonly #timing: BroadcastTiming;
  readonly #tick: () => void;
  #timer: NodeJS.Timeout | undefined;
  /** Whether the timer is set for the next state, and not to rest. */
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

  /** Something has changed: one period after the last state, or at once. */
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
      this.#tick();
      // What woke it meanwhile has set the timer already.
      if (!this.#awake) this.#schedule(this.#timing.idleMs);
    }, ms);
  }
}
