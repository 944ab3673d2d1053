/**
 * Rules for who holds a lease and for how long, independent of the store.
 *
 * @module
 */
import { elapsedSince } from "./clock.ts";
import type { Clock, Timestamp } from "./clock.ts";

/** Contents of a lease's object: its holder and term. */
export interface LeaseHolding {
  /** Name of the holder's process; empty when the lease is free. */
  readonly holder: string;
  /** Unique to each process start; empty when the lease is free. */
  readonly holderId: string;
  /** Fencing token: the number of the holder's term. */
  readonly fencing: number;
  /**
   * Number of the holder's write, which distinguishes it from the previous one.
   */
  readonly attempt: number;
  readonly durationMs: number;
}

/** The object of a lease as read from the store. */
export interface ObservedLease {
  readonly version: number;
  readonly holding: LeaseHolding;
}

/** Fraction of the duration that the holder leaves unused. */
const SAFETY_MARGIN = 0.2;

/**
 * Returns the fencing token of a term whose first write replaces the given
 * version. Versions only grow and each is replaced once, so the token is unique
 * and higher than that of any earlier term.
 *
 * @example
 * ```ts
 * fencingAfter(411); // 412
 * ```
 */
export function fencingAfter(version: number): number {
  return version + 1;
}

/**
 * Returns the milliseconds for which the holder may still act, less the safety
 * margin; 0 or less once its time is over.
 *
 * @param renewedAt when the last write that is known to have succeeded was
 * sent.
 *
 * @example
 * ```ts
 * leaseRemainingMs(10_000, timestampOf(clock), clock); // 8000
 * ```
 */
export function leaseRemainingMs(
  durationMs: number,
  renewedAt: Timestamp,
  clock: Clock,
): number {
  return durationMs * (1 - SAFETY_MARGIN) - elapsedSince(renewedAt, clock);
}

/**
 * Tracks a lease that other processes may hold: the last version observed, and
 * since when it has been unchanged.
 *
 * @example
 * ```ts
 * const observer = new LeaseObserver("process-1");
 * observer.observe(found.version, clock.monotonic());
 * if (observer.isFree(found, clock.monotonic())) acquire();
 * ```
 */
export class LeaseObserver {
  readonly #holderId: string;
  #lastVersion = 0;
  #unchangedSince = -Infinity;

  /** @param holderId of the observing process. */
  constructor(holderId: string) {
    this.#holderId = holderId;
  }

  /** Last version observed; 0 before the first one. */
  get version(): number {
    return this.#lastVersion;
  }

  /** Monotonic ms since which the version is known to have been unchanged. */
  get unchangedSince(): number {
    return this.#unchangedSince;
  }

  /**
   * Records that a version was in the store at a time; an older one is ignored.
   */
  observe(version: number, at: number): void {
    if (version <= this.#lastVersion) return;
    this.#lastVersion = version;
    this.#unchangedSince = at;
  }

  /**
   * Whether the lease can be acquired: it is free, this process is its holder,
   * or its version has not changed for its whole duration while this process
   * observed it.
   */
  isFree(found: ObservedLease | undefined, now: number): boolean {
    if (found === undefined) return true;
    this.observe(found.version, now);
    const { holderId, durationMs } = found.holding;
    if (holderId === "" || holderId === this.#holderId) return true;
    return found.version === this.#lastVersion &&
      now - this.#unchangedSince >= durationMs;
  }
}
