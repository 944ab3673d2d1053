/**
 * A holder's part of a limit, and what it may use of it now.
 *
 * @module
 */

/** Times of the protocol, in milliseconds. */
export interface ShareTimes {
  /** Between two reports of a holder. */
  readonly periodMs: number;
  /** How long a holder keeps away from what it yielded. */
  readonly yieldMs: number;
  /** How long a grant may be used. */
  readonly grantMs: number;
}

/** Part of each time that is left unused, against clocks of unequal rates. */
export const CLOCK_DRIFT_MARGIN = 0.05;

/** Part of the floor that is never yielded, so that new demand starts at once. */
const RESERVED_FRACTION = 0.1;
/** Demand beyond the present one that is kept for growth. */
const DEMAND_HEADROOM = 1.25;

interface TimedAmount {
  readonly amount: number;
  readonly until: number;
}

/** What a holder knows of one owner. */
interface OwnerState {
  yields: readonly TimedAmount[];
  grant: TimedAmount;
  /** Number of the report whose answer was last taken. */
  lastReport: number;
}

/** What a holder tells an owner of one limit. */
export interface Offer {
  /** Kept away from for the whole yield time, counted from the report. */
  readonly yielded: number;
  /** What the holder could use beyond what it keeps of its floor. */
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

  /** Follows a change of the limit. */
  setFloor(floor: number): void {
    this.#floor = floor;
  }

  /** Tells what could be used at present. */
  setDemand(demand: number): void {
    this.#demand = demand;
  }

  /** What may be used now. */
  allowance(now: number): number {
    let allowance = this.#floor;
    for (const { yields, grant } of this.#owners.values()) {
      allowance -= largestLive(yields, now);
      if (grant.until > now) allowance += grant.amount;
    }
    return Math.max(0, allowance);
  }

  /**
   * Makes an offer to an owner. What it yields is kept away from as of now, even
   * if the report never arrives: this process can't know.
   */
  offer(owner: string, now: number): Offer {
    const dealing = this.#ownerState(owner);
    const elsewhere = this.#yieldedExcept(owner, now);
    const keep = Math.max(
      this.#floor * RESERVED_FRACTION,
      this.#demand * DEMAND_HEADROOM,
    );
    const yielded = Math.max(0, this.#floor - keep - elsewhere);
    const until = now + this.#times.yieldMs;
    const live = dealing.yields.filter((entry) => entry.until > now);
    dealing.yields = [...live, { amount: yielded, until }];
    const kept = this.#floor - elsewhere - largestLive(dealing.yields, now);
    return {
      yielded,
      wanted: Math.max(0, this.#demand * DEMAND_HEADROOM - kept),
    };
  }

  /** Takes the answer to the numbered report that was sent at `sentAt`. */
  applyGrant(
    owner: string,
    answer: {
      readonly report: number;
      readonly sentAt: number;
      readonly granted: number;
    },
  ): void {
    const dealing = this.#ownerState(owner);
    // The owner counts with either of two crossed answers; the later one fits
    // the demand better.
    if (answer.report <= dealing.lastReport) return;
    dealing.lastReport = answer.report;
    // The owner counts from when it answered, which was after the report.
    const usableMs = this.#times.grantMs * (1 - CLOCK_DRIFT_MARGIN);
    dealing.grant = {
      amount: answer.granted,
      until: answer.sentAt + usableMs,
    };
  }

  #yieldedExcept(owner: string, now: number): number {
    let yielded = 0;
    for (const [name, { yields }] of this.#owners) {
      if (name !== owner) yielded += largestLive(yields, now);
    }
    return yielded;
  }

  #ownerState(owner: string): OwnerState {
    const known = this.#owners.get(owner);
    if (known !== undefined) return known;
    const dealing = {
      yields: [],
      grant: { amount: 0, until: 0 },
      lastReport: 0,
    };
    this.#owners.set(owner, dealing);
    return dealing;
  }
}

/** An owner may rely on any one of the yields that it was told, not on all. */
function largestLive(entries: readonly TimedAmount[], now: number): number {
  let most = 0;
  for (const { amount, until } of entries) {
    if (until > now) most = Math.max(most, amount);
  }
  return most;
}
