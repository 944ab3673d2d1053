/**
 * Retry budget of a service.
 *
 * @module
 */

/** Bounds on retries for all daemons together. */
export interface RetryBounds {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Additional retries allowed per window, for all daemons together. */
  readonly extra: number;
  /** Length of the window in ms. */
  readonly windowMs: number;
}

/** Number of counting intervals per window. */
const INTERVALS = 10;
/**
 * Fraction of the ratio that is used. Others that check the ratio use windows that
 * start at other times, so that requests counted here may belong to a burst before
 * their window.
 */
const RATIO_FRACTION = 0.6;
/**
 * Fraction of the extra retries that is used; the rest covers unknown daemons.
 */
const EXTRA_FRACTION = 0.5;

interface Interval {
  readonly start: number;
  requests: number;
  retries: number;
}

/**
 * Counts requests and retries of one service over a sliding window. Each daemon
 * keeps the ratio for its own requests, so that the sum over daemons keeps it
 * as well, even during a partition; the extra retries are divided among them.
 */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  readonly #daemons: () => number;
  #intervals: Interval[] = [];

  /** @param daemons returns the number of daemons that share the bounds. */
  constructor(bounds: RetryBounds, daemons: () => number) {
    this.#bounds = bounds;
    this.#daemons = daemons;
  }

  /** Counts a caller's request. */
  recordRequest(now: number): void {
    this.#currentInterval(now).requests += 1;
  }

  /** Whether the budget has room for a retry now. */
  allows(now: number): boolean {
    this.#currentInterval(now);
    let requests = 0;
    let retries = 0;
    for (const counted of this.#intervals) {
      requests += counted.requests;
      retries += counted.retries;
    }
    const { ratio, extra } = this.#bounds;
    const share = EXTRA_FRACTION * extra / Math.max(1, this.#daemons());
    return retries + 1 <= RATIO_FRACTION * ratio * requests + share;
  }

  /** Takes one retry; returns false when the budget is exhausted. */
  take(now: number): boolean {
    if (!this.allows(now)) return false;
    this.#currentInterval(now).retries += 1;
    return true;
  }

  #currentInterval(now: number): Interval {
    const length = this.#bounds.windowMs / INTERVALS;
    const start = now - now % length;
    this.#intervals = this.#intervals.filter((counted) =>
      counted.start > now - this.#bounds.windowMs
    );
    const last = this.#intervals.at(-1);
    if (last?.start === start) return last;
    const interval = { start, requests: 0, retries: 0 };
    this.#intervals.push(interval);
    return interval;
  }
}
