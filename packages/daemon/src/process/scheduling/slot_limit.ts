/**
 * Adaptive limit on a runner's concurrent requests: additive increase and
 * multiplicative decrease (AIMD) on observed latency.
 *
 * @module
 */

/** Ratio of latency to its target above which the limit decreases. */
const DECREASE_THRESHOLD = 1;
/** Ratio of latency to its target up to which the limit may increase. */
const INCREASE_THRESHOLD = 0.85;
const DECREASE_FACTOR = 0.85;
/** Minimum time between decreases, so that one congestion event counts once. */
const DECREASE_INTERVAL_MS = 500;
/** Bounds of the limit, as multiples of the table's number of slots. */
const MIN_FACTOR = 0.25;
const MAX_FACTOR = 4;
/** Lower bound of a reported capacity, as a multiple of the table's number. */
const MIN_REPORTED_FACTOR = 0.5;

/** Ratios of observed latencies to their targets; absent if not observed. */
export interface LatencyRatios {
  /** Time between tokens. */
  readonly between?: number;
  /** Time from sending the request to the first token. */
  readonly first?: number;
}

/** The adaptive number of slots of one runner. */
export class SlotLimit {
  #base: number;
  #value: number;
  #ceiling: number;
  /** Number of requests that the runner is known to run concurrently. */
  #capacity: number;
  #decreasedAt = -Infinity;

  constructor(base: number) {
    this.#base = Math.max(1, base);
    this.#value = this.#base;
    this.#ceiling = this.#base * MAX_FACTOR;
    this.#capacity = this.#base;
  }

  /** Whole slots; at least 1. */
  get slots(): number {
    return Math.max(1, Math.floor(this.#value));
  }

  /**
   * Applies the number of concurrent requests that the runner reports. It reduces
   * the table's number by at most half, to bound the effect of a wrong report.
   */
  setCapacity(slots: number): void {
    if (slots <= 0) return;
    const minSlots = Math.max(1, this.#base * MIN_REPORTED_FACTOR);
    this.#ceiling = Math.min(
      this.#base * MAX_FACTOR,
      Math.max(minSlots, slots),
    );
    this.#capacity = Math.min(this.#base, Math.max(minSlots, slots));
    this.#value = Math.min(this.#value, this.#ceiling);
  }

  /** Applies a new number from the table and scales the limit in proportion. */
  setBase(base: number): void {
    if (base === this.#base) return;
    this.#value = this.#value / this.#base * Math.max(1, base);
    this.#base = Math.max(1, base);
    this.#ceiling = this.#base * MAX_FACTOR;
    this.#capacity = this.#base;
  }

  /**
   * Adapts the limit to one observation.
   *
   * @param ratios ratios of observed latencies to the tightest targets served.
   * @param at the time, and whether all slots were in use: the limit increases
   * only if it was reached.
   */
  observe(
    ratios: LatencyRatios,
    at: { readonly now: number; readonly saturated: boolean },
  ): void {
    const { between = 0, first = 0 } = ratios;
    if (between > DECREASE_THRESHOLD) {
      return this.#decrease(at.now, this.#base * MIN_FACTOR);
    }
    // Late first tokens are caused by a queue inside the runner or by a burst of
    // long prompts. Fewer slots do not help against such a burst, so the limit
    // stays at or above the runner's capacity, to not leave it idle.
    if (first > DECREASE_THRESHOLD) {
      return this.#decrease(at.now, this.#capacity);
    }
    const highestRatio = Math.max(between, first);
    if (highestRatio > INCREASE_THRESHOLD || !at.saturated) return;
    this.#value = Math.min(this.#ceiling, this.#value + 1 / this.#value);
  }

  #decrease(now: number, minimum: number): void {
    if (now - this.#decreasedAt < DECREASE_INTERVAL_MS) return;
    if (this.#value <= minimum) return;
    this.#decreasedAt = now;
    this.#value = Math.max(1, minimum, this.#value * DECREASE_FACTOR);
  }
}
