/**
 * Tracks the daemons that could not be reached recently.
 *
 * @module
 */
import type { Contact } from "./contact.ts";

/** Time in ms for which a daemon counts as unreachable after its link broke. */
export const LINK_LOST_MS = 1_000;
/**
 * Time in ms for which a daemon counts as unreachable after the first failed dial;
 * doubled after each further one, up to the maximum.
 */
const INITIAL_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 4_000;

/** Time in ms for which an entry is kept after it has expired. */
const RETENTION_MS = 60_000;

interface Entry {
  readonly incarnation: string;
  readonly until: number;
  /** Number of consecutive failed dials. */
  readonly failures: number;
}

/**
 * Remembers which daemons to leave out when links are planned. An entry expires by
 * itself, as a daemon that was frozen or partitioned could not be found again
 * otherwise. It does not apply to a later incarnation.
 */
export class UnreachableDaemons {
  readonly #entries = new Map<string, Entry>();

  /** Whether any entries are kept. */
  get any(): boolean {
    return this.#entries.size > 0;
  }

  /** Records that the link to a daemon broke. */
  linkLost({ name, incarnation }: Contact, now: number): void {
    this.#removeExpired(now);
    this.#entries.set(name, {
      incarnation,
      until: now + LINK_LOST_MS,
      failures: 0,
    });
  }

  /**
   * Records that dialling a daemon failed.
   *
   * @returns the number of consecutive failures.
   */
  dialFailed({ name, incarnation }: Contact, now: number): number {
    const failures = (this.#entries.get(name)?.failures ?? 0) + 1;
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** (failures - 1);
    const until = now + Math.min(MAX_BACKOFF_MS, backoffMs);
    this.#entries.set(name, { incarnation, until, failures });
    return failures;
  }

  /** Records that a daemon has responded. */
  markReachable(name: string): void {
    this.#entries.delete(name);
  }

  /** Returns whether a daemon is assumed to be reachable. */
  isReachable({ name, incarnation }: Contact, now: number): boolean {
    const entry = this.#entries.get(name);
    if (entry === undefined) return true;
    return entry.incarnation !== incarnation || entry.until <= now;
  }

  /** Removes old entries, as replaced hosts never return under their names. */
  #removeExpired(now: number): void {
    for (const [name, { until }] of this.#entries) {
      if (now - until > RETENTION_MS) this.#entries.delete(name);
    }
  }
}
