/**
 * A clock that moves only when told.
 *
 * @module
 */
import type { Clock } from "../process/clock.ts";

/** {@linkcode Clock} for tests. */
export class FakeClock implements Clock {
  #monotonic: number;
  #skew: number;

  /** `skew` is what the shared clock shows beyond the own one. */
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

  /** Lets time pass. */
  advance(ms: number): void {
    this.#monotonic += ms;
  }
}
