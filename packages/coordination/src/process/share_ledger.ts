/**
 * What holders have yielded of a limit, and what was granted from it.
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

/** A report, as far as it concerns one limit. */
export interface ReportedOffer extends Offer {
  readonly holder: string;
  /**
   * A moment of the owner's clock before which the report can't have been sent:
   * that of an answer which the report echoes. Absent for a first report, whose
   * yield can't be relied on, since it may have been under way for any time.
   */
  readonly sentAfter?: number;
}

/**
 * The owner's side of one limit. Grants are backed by yields alone: what is
 * granted at any moment is at most what holders keep away from for this owner.
 * So it does no harm when several processes believe to be the owner.
 */
export class ShareLedger {
  readonly #times: ShareTimes;
  readonly #holders = new Map<string, HolderEntry>();

  constructor(times: ShareTimes) {
    this.#times = times;
  }

  /** Whether nothing was heard for so long that nothing is owed. */
  isIdle(now: number): boolean {
    const longest = this.#times.yieldMs + this.#times.grantMs;
    return [...this.#holders.values()].every(({ reportedAt }) =>
      now - reportedAt > longest
    );
  }

  /** Takes a report and returns the grant to its holder. */
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

  /** The holder's fair part of the pool, as far as nobody else may use it. */
  #grantableAmount(holder: string, now: number): number {
    let pool = 0;
    let others = 0;
    const wants: number[] = [];
    const end = now + this.#times.grantMs;
    for (const [name, entry] of this.#holders) {
      // Only what stays yielded until the grant's end can back it.
      if (entry.yieldedUntil >= end) pool += entry.yielded;
      if (name !== holder) others += largestLiveGrant(entry.grants, now);
      if (this.#isReporting(entry, now)) wants.push(entry.wanted);
    }
    const wanted = this.#holders.get(holder)?.wanted ?? 0;
    const fair = Math.min(wanted, waterLevel(pool, wants));
    return Math.max(0, Math.min(fair, pool - others));
  }

  /** A holder that has fallen silent no longer takes part in the division. */
  #isReporting(entry: HolderEntry, now: number): boolean {
    const MISSED_REPORTS = 3;
    return now - entry.reportedAt <= MISSED_REPORTS * this.#times.periodMs;
  }
}

/**
 * The level at which all wants, each cut at it, fill the pool; infinite when the
 * pool holds them all.
 *
 * @example
 * ```ts
 * waterLevel(10, [2, 9, 9]); // 4
 * ```
 */
export function waterLevel(pool: number, wants: readonly number[]): number {
  const sorted = wants.toSorted((a, b) => a - b);
  let left = pool;
  for (const [index, want] of sorted.entries()) {
    const level = left / (sorted.length - index);
    if (want > level) return level;
    left -= want;
  }
  return Infinity;
}

/** The holder uses the last answer that reached it, which may be any of these. */
function largestLiveGrant(grants: readonly Grant[], now: number): number {
  let most = 0;
  for (const { amount, until } of grants) {
    if (until > now) most = Math.max(most, amount);
  }
  return most;
}
