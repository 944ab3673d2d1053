/**
 * Measurement of the cost served per second while asks wait.
 *
 * @module
 */

const WINDOW_MS = 1_000;
/** Weight of a new window in the smoothed rate. */
const SMOOTHING = 0.3;
const MS_PER_SECOND = 1_000;

/** A smoothed rate over windows in which asks waited throughout. */
export class ServiceRate {
  #served = 0;
  #since: number | undefined;
  #perSecond: number | undefined;

  /** Cost per second; `undefined` before the first full window. */
  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  /**
   * Adds served cost.
   *
   * @param at `backlogged`: whether asks still wait.
   */
  record(
    cost: number,
    at: { readonly now: number; readonly backlogged: boolean },
  ): void {
    if (!at.backlogged) {
      // The throughput of an idle service is no measure of its capacity.
      this.#since = undefined;
      return;
    }
    if (this.#since === undefined) {
      this.#since = at.now;
      this.#served = 0;
    }
    this.#served += cost;
    const elapsed = at.now - this.#since;
    if (elapsed < WINDOW_MS) return;
    const rate = this.#served / elapsed * MS_PER_SECOND;
    const previous = this.#perSecond ?? rate;
    this.#perSecond = previous + (rate - previous) * SMOOTHING;
    this.#since = at.now;
    this.#served = 0;
  }
}
