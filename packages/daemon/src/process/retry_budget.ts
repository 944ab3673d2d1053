/**
 * Budget of the daemon's retries.
 *
 * @module
 */

/** Parameters of a retry budget. */
export interface RetryBudgetSettings {
  /** Number of retries added by each success. */
  readonly share: number;
  /** Capacity of the bucket, which is full at the start of the daemon. */
  readonly burst: number;
}

/** Default parameters. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetSettings = {
  share: 0.1,
  burst: 20,
};

/**
 * A token bucket that is refilled by successes. During an outage few requests
 * succeed, so the bucket runs empty and retries stop, instead of multiplying the
 * load on the remaining runners. Without a budget, recovering runners would
 * receive every request several times.
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

  /** Records a request with a complete response. */
  recordSuccess(): void {
    const { share, burst } = this.#settings;
    this.#available = Math.min(burst, this.#available + share);
  }

  /** Takes one retry from the bucket; false if there is none. */
  take(): boolean {
    if (this.#available < 1) return false;
    this.#available -= 1;
    return true;
  }
}
