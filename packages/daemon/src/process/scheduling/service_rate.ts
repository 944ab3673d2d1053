/**
 * Cost served a second, measured while work waits.
 *
 * @module
 */

const WINDOW_MS = 1_000;
const SMOOTHING = 0.3;
const MS_PER_SECOND = 1_000;

/** A smoothed rate over windows in which something waited throughout. */
export class ServiceRate {
  #served = 0;
  #since: number | undefined;
  #perSecond: number | undefined;

  /** Cost a second; `undefined` before the first whole window. */
  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  /** Counts served cost. `backlogged`: something waits still. */
  record(
    cost: number,
    at: { readonly now: number; readonly backlogged: boolean },
  ): void {
    if (!at.backlogged) {
      // What an idle service serves tells nothing of what it could serve.
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
