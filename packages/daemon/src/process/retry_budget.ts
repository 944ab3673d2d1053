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
  #saved: number;

  constructor(settings: RetryBudgetSettings = DEFAULT_RETRY_BUDGET) {
    this.#settings = settings;
    this.#saved = settings.burst;
  }

  /** Counts a request that was answered whole. */
  recordSuccess(): void {
    const { share, burst } = this.#settings;
    this.#saved = Math.min(burst, this.#saved + share);
  }

  /** Spends one retry; false when there is none. */
  take(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
