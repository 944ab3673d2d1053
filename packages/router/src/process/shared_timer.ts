/**
 * One timer for many that wait.
 *
 * @module
 */

/**
 * Wakes all that wait at the same moment. With a timer each, 25 requests that
 * look every 20 ms whether a runner has room wake the process 1,250 times a
 * second; with one they wake it 50 times.
 *
 * @example
 * ```ts
 * const pulse = new Pulse(20);
 * while (!ready()) await pulse.next();
 * ```
 */
export class SharedTimer {
  readonly #periodMs: number;
  #waiting: (() => void)[] = [];

  /** @param periodMs longest wait, in ms; waits that begin later are shorter. */
  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  /** Resolves at the next beat, within one period. */
  next(): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
      if (this.#waiting.length > 1) return;
      setTimeout(() => this.#beat(), this.#periodMs);
    });
  }

  #beat(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
  }
}
