/**
 * How many repeats the daemon may send to each service.
 *
 * @module
 */

/** Bounds that all daemons keep together. */
export interface RetryBounds {
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed beside them in a window, all daemons together. */
  readonly extra: number;
  /** Length of the window in ms. */
  readonly windowMs: number;
}

/** Spans in which arrivals are counted, for each window. */
const SPANS = 10;
/**
 * Part of the ratio that is used. Windows of an observer start at other moments
 * than ours, and requests that we counted may have come from a burst before.
 */
const RATIO_SHARE = 0.6;
/** Part of the extra repeats that is used; the rest covers unknown daemons. */
const EXTRA_SHARE = 0.5;

interface Span {
  readonly start: number;
  requests: number;
  repeats: number;
}

/**
 * Counts requests and repeats of one service over a sliding window. Each daemon
 * keeps the ratio for its own requests, so that the sum over daemons keeps it
 * too, also while they cannot talk; the extra repeats are divided among them.
 */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  readonly #daemons: () => number;
  #spans: Span[] = [];

  /** @param daemons how many daemons share the bounds. */
  constructor(bounds: RetryBounds, daemons: () => number) {
    this.#bounds = bounds;
    this.#daemons = daemons;
  }

  /** Counts a request of a caller. */
  recordRequest(now: number): void {
    this.#span(now).requests += 1;
  }

  /** Takes one repeat; false when none is left. */
  take(now: number): boolean {
    const span = this.#span(now);
    let requests = 0;
    let repeats = 0;
    for (const each of this.#spans) {
      requests += each.requests;
      repeats += each.repeats;
    }
    const { ratio, extra } = this.#bounds;
    const own = EXTRA_SHARE * extra / Math.max(1, this.#daemons());
    if (repeats + 1 > RATIO_SHARE * ratio * requests + own) return false;
    span.repeats += 1;
    return true;
  }

  #span(now: number): Span {
    const length = this.#bounds.windowMs / SPANS;
    const start = now - now % length;
    this.#spans = this.#spans.filter((each) =>
      each.start > now - this.#bounds.windowMs
    );
    const last = this.#spans.at(-1);
    if (last?.start === start) return last;
    const span = { start, requests: 0, repeats: 0 };
    this.#spans.push(span);
    return span;
  }
}
