/**
 * How many retries the daemon may spend.
 *
 * @module
 */

/** Bounds of a retry budget. */
export interface RetryBudgetSettings {
  /** Retries earned by each success. */
  readonly share: number;
  /** Most retries saved up; also what a new daemon starts with. */
  readonly burst: number;
}

/** Used where settings name nothing else. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetSettings = {
  share: 0.1,
  burst: 20,
};

/**
 * A token bucket filled by successes. During an outage few requests succeed,
 * so retries dry up instead of multiplying the load on what is left: without
 * it, runners that recover are met by every request several times over.
 *
 * @example
 * ```ts
 * const budget = new RetryBudget({ share: 0.1, burst: 20 });
 * if (budget.take()) console.log("retry");
 * ```
 */
export class RetryBudget {
  readonly #settings: RetryBudgetSettings;
  #available: number;

  constructor(settings: RetryBudgetSettings = DEFAULT_RETRY_BUDGET) {
    this.#settings = settings;
    this.#available = settings.burst;
  }

  /** Counts a request that was answered whole. */
  recordSuccess(): void {
    const { share, burst } = this.#settings;
    this.#available = Math.min(burst, this.#available + share);
  }

  /** Spends one retry; false when there is none. */
  take(): boolean {
    if (this.#available < 1) return false;
    this.#available -= 1;
    return true;
  }
}
