/**
 * A holder's side of a shared limit: what it has yielded, what it was granted,
 * and what it may use now.
 *
 * @module
 */

/** Times of the protocol, in milliseconds. */
export interface ShareTimes {
  /** Interval between two reports of a holder. */
  readonly periodMs: number;
  /** Time for which a holder does not use what it has yielded. */
  readonly yieldMs: number;
  /** Time for which a grant may be used. */
  readonly grantMs: number;
}

/**
 * Fraction of each time that is left unused, to allow for clocks that run at
 * different rates.
 */
export const CLOCK_DRIFT_MARGIN = 0.05;

/**
 * Fraction of the floor that is never yielded, so that new demand can be served
 * immediately.
 */
const RESERVED_FRACTION = 0.1;
/** Factor applied to the current demand, to leave room for growth. */
const DEMAND_HEADROOM = 1.25;

interface TimedAmount {
  readonly amount: number;
  readonly until: number;
}

/** A holder's state for one owner. */
interface OwnerState {
  yields: readonly TimedAmount[];
  grant: TimedAmount;
  /** Number of the latest report whose response was applied. */
  lastReport: number;
}

/** A holder's offer to an owner, for one limit. */
export interface Offer {
  /**
   * Amount that the holder does not use for the whole yield time, measured from
   * the report.
   */
  readonly yielded: number;
  /** Amount that the holder could use beyond what it keeps of its floor. */
  readonly wanted: number;
}

/**
 * One holder of one limit. It may use its floor, the limit divided by the number
 * of holders, less what it has yielded to owners, plus what owners have granted.
 */
export class ShareHolding {
  readonly #times: ShareTimes;
  readonly #owners = new Map<string, OwnerState>();
  #floor: number;
  #demand = 0;

  constructor(floor: number, times: ShareTimes) {
    this.#floor = floor;
    this.#times = times;
  }

  /** Sets the floor after a change of the limit. */
  setFloor(floor: number): void {
    this.#floor = floor;
  }

  /** Sets the amount that could be used at present. */
  setDemand(demand: number): void {
    this.#demand = demand;
  }

  /** Returns the amount that may be used now. */
  allowance(now: number): number {
    let allowance = this.#floor;
    for (const { yields, grant } of this.#owners.values()) {
      allowance -= largestUnexpired(yields, now);
      if (grant.until > now) allowance += grant.amount;
    }
    return Math.max(0, allowance);
  }

  /**
   * Makes an offer to an owner. The yielded amount is not used from now on,
   * even if the report never arrives, because this process cannot tell whether
   * it does.
   */
  offer(owner: string, now: number): Offer {
    const state = this.#ownerState(owner);
    const elsewhere = this.#yieldedExcept(owner, now);
    const keep = Math.max(
      this.#floor * RESERVED_FRACTION,
      this.#demand * DEMAND_HEADROOM,
    );
    const yielded = Math.max(0, this.#floor - keep - elsewhere);
    const until = now + this.#times.yieldMs;
    const unexpired = state.yields.filter((entry) => entry.until > now);
    state.yields = [...unexpired, { amount: yielded, until }];
    const kept = this.#floor - elsewhere - largestUnexpired(state.yields, now);
    return {
      yielded,
      wanted: Math.max(0, this.#demand * DEMAND_HEADROOM - kept),
    };
  }

  /** Applies the response to the numbered report that was sent at `sentAt`. */
  applyGrant(
    owner: string,
    response: {
      readonly report: number;
      readonly sentAt: number;
      readonly granted: number;
    },
  ): void {
    const state = this.#ownerState(owner);
    // The owner accounts for either of two responses that arrive out of order;
    // the later one fits the demand better.
    if (response.report <= state.lastReport) return;
    state.lastReport = response.report;
    // The owner measures the time from its response, which it sent after the
    // report.
    const usableMs = this.#times.grantMs * (1 - CLOCK_DRIFT_MARGIN);
    state.grant = {
      amount: response.granted,
      until: response.sentAt + usableMs,
    };
  }

  #yieldedExcept(owner: string, now: number): number {
    let yielded = 0;
    for (const [name, { yields }] of this.#owners) {
      if (name !== owner) yielded += largestUnexpired(yields, now);
    }
    return yielded;
  }

  #ownerState(owner: string): OwnerState {
    const known = this.#owners.get(owner);
    if (known !== undefined) return known;
    const state = {
      yields: [],
      grant: { amount: 0, until: 0 },
      lastReport: 0,
    };
    this.#owners.set(owner, state);
    return state;
  }
}

/**
 * Returns the largest amount that has not expired. An owner may rely on any one
 * of the yields reported to it, but not on their sum.
 */
function largestUnexpired(
  entries: readonly TimedAmount[],
  now: number,
): number {
  let max = 0;
  for (const { amount, until } of entries) {
    if (until > now) max = Math.max(max, amount);
  }
  return max;
}
