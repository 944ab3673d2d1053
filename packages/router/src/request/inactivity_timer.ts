/**
 * A timer that detects inactivity.
 *
 * @module
 */

/** Calls back when it has not been restarted within the last time-out. */
export class InactivityTimer {
  readonly #onInactive: () => void;
  #timer: NodeJS.Timeout | undefined;
  #deadline = 0;

  constructor(onInactive: () => void) {
    this.#onInactive = onInactive;
  }

  /** Restarts the timer with a time-out that begins now. */
  restart(timeoutMs: number): void {
    this.#deadline = performance.now() + timeoutMs;
    this.#timer ??= setTimeout(() => this.#checkDeadline(), timeoutMs);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #checkDeadline(): void {
    const remainingMs = this.#deadline - performance.now();
    if (remainingMs <= 0) return this.#onInactive();
    this.#timer = setTimeout(() => this.#checkDeadline(), remainingMs);
  }
}
