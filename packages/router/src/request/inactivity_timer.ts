/**
 * A timer that detects inactivity.
 *
 * @module
 */

/** Calls back when it has not been restarted within the last time-out. */
export class InactivityTimer {
  readonly #onSilent: () => void;
  #timer: NodeJS.Timeout | undefined;
  #deadline = 0;

  constructor(onSilent: () => void) {
    this.#onSilent = onSilent;
  }

  /** Restarts the timer with a time-out that begins now. */
  restart(ms: number): void {
    this.#deadline = performance.now() + ms;
    this.#timer ??= setTimeout(() => this.#check(), ms);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #check(): void {
    const left = this.#deadline - performance.now();
    if (left <= 0) return this.#onSilent();
    this.#timer = setTimeout(() => this.#check(), left);
  }
}
