/**
 * How many requests a runner is given at once: additive increase,
 * multiplicative decrease on observed latency.
 *
 * @module
 */

/** Latency in proportion to its target above which slots are taken away. */
const DECREASE_THRESHOLD = 1;
/** Latency in proportion to its target below which slots may be added. */
const INCREASE_THRESHOLD = 0.85;
const DECREASE_FACTOR = 0.85;
/** Observations of one congested moment must count once. */
const DECREASE_INTERVAL_MS = 500;
/** Bounds in multiples of the table's number of slots. */
const MIN_FACTOR = 0.25;
const MAX_FACTOR = 4;
const MIN_REPORTED_FACTOR = 0.5;

/** Observed latencies over their targets; absent ones were not observed. */
export interface LatencyRatios {
  /** Time between tokens. */
  readonly between?: number;
  /** Time from the send to the first token. */
  readonly first?: number;
}

/** The adapted number of slots of one runner. */
export class SlotLimit {
  #base: number;
  #value: number;
  #ceiling: number;
  /** What the runner runs at once, as far as is known. */
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
   * Learns how many requests the runner says it can run at once. What it says
   * can take away no more than half of the table's number, so that a wrong
   * report costs little.
   */
  setCapacity(slots: number): void {
    if (slots <= 0) return;
    const least = Math.max(1, this.#base * MIN_REPORTED_FACTOR);
    this.#ceiling = Math.min(this.#base * MAX_FACTOR, Math.max(least, slots));
    this.#capacity = Math.min(this.#base, Math.max(least, slots));
    this.#value = Math.min(this.#value, this.#ceiling);
  }

  /** Takes another number from the table, keeping the adaptation's proportion. */
  setBase(base: number): void {
    if (base === this.#base) return;
    this.#value = this.#value / this.#base * Math.max(1, base);
    this.#base = Math.max(1, base);
    this.#ceiling = this.#base * MAX_FACTOR;
    this.#capacity = this.#base;
  }

  /**
   * Learns from one observation.
   *
   * @param ratios observed latencies over the tightest targets being served.
   * @param at the moment, and whether all slots were in use: a limit that is
   * not reached shows nothing about a higher one.
   */
  observe(
    ratios: LatencyRatios,
    at: { readonly now: number; readonly saturated: boolean },
  ): void {
    const { between = 0, first = 0 } = ratios;
    if (between > DECREASE_THRESHOLD) {
      return this.#decrease(at.now, this.#base * MIN_FACTOR);
    }
    // Late first tokens come from a queue inside the runner, or from a burst of
    // long prompts, which fewer slots do not cure: taking slots away below what
    // the runner runs at once would leave it idle for nothing.
    if (first > DECREASE_THRESHOLD) {
      return this.#decrease(at.now, this.#capacity);
    }
    const worst = Math.max(between, first);
    if (worst > INCREASE_THRESHOLD || !at.saturated) return;
    this.#value = Math.min(this.#ceiling, this.#value + 1 / this.#value);
  }

  #decrease(now: number, least: number): void {
    if (now - this.#decreasedAt < DECREASE_INTERVAL_MS) return;
    if (this.#value <= least) return;
    this.#decreasedAt = now;
    this.#value = Math.max(1, least, this.#value * DECREASE_FACTOR);
  }
}
