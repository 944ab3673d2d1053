/**
 * A timer that detects inactivity.
 *
 * @module
 */

import { timerDelay } from "../process/timer_delay.ts";

/** Calls back once a time-out has elapsed without a restart. */
export class InactivityTimer {
  readonly #onInactive: () => void;
  #timer: NodeJS.Timeout | undefined;
  #deadline = 0;
  #stopped = false;

  constructor(onInactive: () => void) {
    this.#onInactive = onInactive;
  }

  /** Starts or restarts the timer with a time-out that begins now. */
  restart(timeoutMs: number): void {
    this.#deadline = performance.now() + timeoutMs;
    if (this.#stopped) return;
    this.#timer ??= this.#start(timeoutMs);
  }

  /** Stops the timer for good. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #start(ms: number): NodeJS.Timeout {
    return setTimeout(() => this.#checkDeadline(), timerDelay(ms));
  }

  #checkDeadline(): void {
    const remainingMs = this.#deadline - performance.now();
    if (remainingMs > 0) {
      this.#timer = this.#start(remainingMs);
      return;
    }
    this.#timer = undefined;
    this.#onInactive();
  }
}
