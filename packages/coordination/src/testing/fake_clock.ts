/**
 * A clock that advances only on request.
 *
 * @module
 */
import type { Clock } from "../process/clock.ts";

/** {@linkcode Clock} for tests. */
export class FakeClock implements Clock {
  #monotonic: number;
  #skew: number;

  /** `skew` is the offset of the wall clock from the monotonic clock. */
  constructor(options: { readonly at?: number; readonly skew?: number } = {}) {
    this.#monotonic = options.at ?? 0;
    this.#skew = options.skew ?? 0;
  }

  now(): number {
    return this.#monotonic + this.#skew;
  }

  monotonic(): number {
    return this.#monotonic;
  }

  /** Advances both clocks. */
  advance(ms: number): void {
    this.#monotonic += ms;
  }
}
