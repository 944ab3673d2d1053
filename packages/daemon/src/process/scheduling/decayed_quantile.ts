/**
 * A quantile that follows its observations, in a few bytes.
 *
 * @module
 */

/** Moves up or down by a share of itself with each observation. */
export class DecayedQuantile {
  readonly #quantile: number;
  readonly #step: number;
  #value: number | undefined;

  /**
   * @param quantile share of the observations that lie below, 0 to 1.
   * @param step share of the value by which an observation may move it.
   */
  constructor(quantile: number, step: number) {
    this.#quantile = quantile;
    this.#step = step;
  }

  /** The present estimate; `undefined` before the first observation. */
  get value(): number | undefined {
    return this.#value;
  }

  observe(sample: number): void {
    if (this.#value === undefined) {
      this.#value = sample;
      return;
    }
    // Without a least step an estimate of zero would stay there for good.
    const unit = Math.max(this.#value, sample / 10) * this.#step;
    if (sample > this.#value) this.#value += unit * this.#quantile;
    else this.#value -= unit * (1 - this.#quantile);
  }
}
