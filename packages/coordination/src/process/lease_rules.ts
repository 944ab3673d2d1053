/**
 * Who holds a lease, and for how long: the rules, without a store.
 *
 * @module
 */
import { elapsedSince } from "./clock.ts";
import type { Clock, Timestamp } from "./clock.ts";

/** What the object of a lease says of its holder. */
export interface LeaseHolding {
  /** Name of the holder's process; empty when nobody holds it. */
  readonly holder: string;
  /** Unique for each process that ever started; empty when nobody holds it. */
  readonly holderId: string;
  /** Number of the holder's term. */
  readonly fencing: number;
  /** Counts the holder's writes, so that each can be told from the one before. */
  readonly attempt: number;
  readonly durationMs: number;
}

/** The object of a lease as it was read. */
export interface ObservedLease {
  readonly version: number;
  readonly holding: LeaseHolding;
}

/** Part of the duration that the holder leaves unused. */
const SAFETY_MARGIN = 0.2;

/**
 * Number of a term whose first write replaces a version. Versions only grow and
 * each is replaced once, so it is above that of any earlier term and nobody
 * else's.
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
 * Milliseconds for which the holder may still act, with the margin taken off; 0
 * or less when its time is over.
 *
 * @param renewedAt when the last write that is known to stand was sent.
 *
 * @example
 * ```ts
 * leaseRemainingMs(10_000, momentOf(clock), clock); // 8000
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
 * What a process has seen of a lease that others may hold: the version last
 * seen, and for how long it has stood.
 *
 * @example
 * ```ts
 * const sight = new LeaseSight("one-life");
 * sight.see(found.version, clock.monotonic());
 * if (sight.isFree(found, clock.monotonic())) take();
 * ```
 */
export class LeaseObserver {
  readonly #holderId: string;
  #lastVersion = 0;
  #unchangedSince = -Infinity;

  /** @param holderId of the process that looks. */
  constructor(holderId: string) {
    this.#holderId = holderId;
  }

  /** Version that was seen last; 0 without one. */
  get version(): number {
    return this.#lastVersion;
  }

  /** Steady ms since which it has stood, as far as seen. */
  get unchangedSince(): number {
    return this.#unchangedSince;
  }

  /** Notes that a version was there at a moment; an older one says nothing. */
  observe(version: number, at: number): void {
    if (version <= this.#lastVersion) return;
    this.#lastVersion = version;
    this.#unchangedSince = at;
  }

  /**
   * Whether the lease may be taken: nobody holds it, this process did, or its
   * version has not changed for its whole duration while this process looked.
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
