/**
 * A timer that detects inactivity.
 *
 * @module
 */

/** Calls back once a time-out has elapsed without a restart. */
export class InactivityTimer {
  readonly #onInactive: () => void;
  #timer: NodeJS.Timeout | undefined;
  #deadline = 0;

  constructor(onInactive: () => void) {
    this.#onInactive = onInactive;
  }

  /** Starts or restarts the timer with a time-out that begins now. */
  restart(timeoutMs: number): void {
    this.#deadline = performance.now() + timeoutMs;
    this.#timer ??= setTimeout(() => this.#checkDeadline(), timeoutMs);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #checkDeadline(): void {
    const remainingMs = this.#deadline - performance.now();
    if (remainingMs > 0) {
      this.#timer = setTimeout(() => this.#checkDeadline(), remainingMs);
      return;
    }
    this.#timer = undefined;
    this.#onInactive();
  }
}
