/**
 * Streaming estimate of a quantile in constant memory.
 *
 * @module
 */

/** An estimate that moves by a fraction of itself with each observation. */
export class DecayedQuantile {
  readonly #quantile: number;
  readonly #step: number;
  #value: number | undefined;

  /**
   * @param quantile share of the observations below the estimate, 0 to 1.
   * @param step fraction of the estimate by which an observation may move it.
   */
  constructor(quantile: number, step: number) {
    this.#quantile = quantile;
    this.#step = step;
  }

  /** The current estimate; `undefined` before the first observation. */
  get value(): number | undefined {
    return this.#value;
  }

  observe(sample: number): void {
    if (this.#value === undefined) {
      this.#value = sample;
      return;
    }
    // Without a minimum step, an estimate of zero would never change.
    const unit = Math.max(this.#value, sample / 10) * this.#step;
    if (sample > this.#value) this.#value += unit * this.#quantile;
    else this.#value -= unit * (1 - this.#quantile);
  }
}
