/**
 * An owner's record of what holders have yielded of a limit, and of what it has
 * granted from it.
 *
 * @module
 */
import { CLOCK_DRIFT_MARGIN } from "./share_holding.ts";
import type { Offer, ShareTimes } from "./share_holding.ts";

interface Grant {
  readonly amount: number;
  readonly until: number;
}

interface HolderEntry {
  readonly yielded: number;
  readonly yieldedUntil: number;
  readonly wanted: number;
  readonly reportedAt: number;
  readonly grants: readonly Grant[];
}

/** The part of a report that concerns one limit. */
export interface ReportedOffer extends Offer {
  readonly holder: string;
  /**
   * Time on the owner's clock before which the report cannot have been sent:
   * that of a response whose timestamp the report echoes. Absent for a first
   * report, whose yield cannot be relied on because the report may have been in
   * transit for any length of time.
   */
  readonly sentAfter?: number;
}

/**
 * The owner's side of one limit. Grants are made from yields alone: the amount
 * granted at any time is at most what holders have yielded to this owner and do
 * not use. Several processes that consider themselves the owner therefore cannot
 * exceed the limit together.
 */
export class ShareLedger {
  readonly #times: ShareTimes;
  readonly #holders = new Map<string, HolderEntry>();

  constructor(times: ShareTimes) {
    this.#times = times;
  }

  /**
   * Whether the last report is so old that all yields and grants have expired.
   */
  isIdle(now: number): boolean {
    const maxMs = this.#times.yieldMs + this.#times.grantMs;
    return [...this.#holders.values()].every(({ reportedAt }) =>
      now - reportedAt > maxMs
    );
  }

  /** Records a holder's offer and returns the amount granted to it. */
  processOffer(offer: ReportedOffer, now: number): number {
    const before = this.#holders.get(offer.holder);
    const grants = (before?.grants ?? []).filter(({ until }) => until > now);
    const usableMs = this.#times.yieldMs * (1 - CLOCK_DRIFT_MARGIN);
    const entry: HolderEntry = {
      yielded: offer.sentAfter === undefined ? 0 : offer.yielded,
      yieldedUntil: (offer.sentAfter ?? now) + usableMs,
      wanted: offer.wanted,
      reportedAt: now,
      grants,
    };
    this.#holders.set(offer.holder, entry);
    const amount = this.#grantableAmount(offer.holder, now);
    const until = now + this.#times.grantMs;
    this.#holders.set(offer.holder, {
      ...entry,
      grants: [...grants, { amount, until }],
    });
    return amount;
  }

  /**
   * Returns the holder's fair share of the pool, limited to what no other
   * holder may use.
   */
  #grantableAmount(holder: string, now: number): number {
    let pool = 0;
    let grantedElsewhere = 0;
    const wants: number[] = [];
    const end = now + this.#times.grantMs;
    for (const [name, entry] of this.#holders) {
      // Only amounts that stay yielded until the grant ends can be granted.
      if (entry.yieldedUntil >= end) pool += entry.yielded;
      if (name !== holder) grantedElsewhere += largestGrant(entry.grants, now);
      if (this.#isReporting(entry, now)) wants.push(entry.wanted);
    }
    const wanted = this.#holders.get(holder)?.wanted ?? 0;
    const fair = Math.min(wanted, waterLevel(pool, wants));
    return Math.max(0, Math.min(fair, pool - grantedElsewhere));
  }

  /**
   * Whether the holder still reports. A holder that has stopped reporting is
   * excluded from the division.
   */
  #isReporting(entry: HolderEntry, now: number): boolean {
    const MISSED_REPORTS = 3;
    return now - entry.reportedAt <= MISSED_REPORTS * this.#times.periodMs;
  }
}

/**
 * Returns the max-min fair level: the cap at which all wanted amounts, each
 * limited to the cap, add up to the pool. It is infinite if the pool covers all
 * wanted amounts.
 *
 * @example
 * ```ts
 * waterLevel(10, [2, 9, 9]); // 4
 * ```
 */
export function waterLevel(pool: number, wants: readonly number[]): number {
  const sorted = wants.toSorted((a, b) => a - b);
  let remaining = pool;
  for (const [index, want] of sorted.entries()) {
    const level = remaining / (sorted.length - index);
    if (want > level) return level;
    remaining -= want;
  }
  return Infinity;
}

/**
 * Returns the largest grant that has not expired. The holder uses the latest
 * response that reached it, which may contain any of them.
 */
function largestGrant(grants: readonly Grant[], now: number): number {
  let max = 0;
  for (const { amount, until } of grants) {
    if (until > now) max = Math.max(max, amount);
  }
  return max;
}
