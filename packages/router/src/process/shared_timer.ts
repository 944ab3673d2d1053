/**
 * A timer that is shared by many waits.
 *
 * @module
 */

/**
 * Resolves all pending waits with one timer. With a timer each, 25 requests that
 * check every 20 ms whether a runner has capacity would wake the process 1,250
 * times a second; with a shared timer they wake it 50 times.
 *
 * @example
 * ```ts
 * const timer = new SharedTimer(20);
 * while (!ready()) await timer.next();
 * ```
 */
export class SharedTimer {
  readonly #periodMs: number;
  #waiting: (() => void)[] = [];

  /** @param periodMs maximum wait in ms; waits that start later are shorter. */
  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  /** Resolves when the timer fires, within one period. */
  next(): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
      if (this.#waiting.length > 1) return;
      setTimeout(() => this.#fire(), this.#periodMs);
    });
  }

  #fire(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const resolve of waiting) resolve();
  }
}
