/**
 * Daemons that did not answer lately.
 *
 * @module
 */
import type { Contact } from "./contact.ts";

/** Milliseconds for which a daemon whose link broke counts as absent. */
export const LINK_LOST_MS = 1_000;
/** The same for one that nobody answers for, at first; doubled each time. */
const FIRST_UNREACHABLE_MS = 1_000;
const LONGEST_UNREACHABLE_MS = 4_000;

/** Milliseconds after its end for which an absence is remembered. */
const REMEMBERED_MS = 60_000;

interface Absence {
  readonly incarnation: string;
  readonly until: number;
  /** How many times in a row nobody answered. */
  readonly times: number;
}

/**
 * Remembers whom not to plan with. An absence ends by itself, as a daemon that was
 * frozen or cut off has no other way to be found again, or with the next life.
 */
export class UnreachableDaemons {
  readonly #absent = new Map<string, Absence>();

  /** Whether there are any. */
  get any(): boolean {
    return this.#absent.size > 0;
  }

  /** Its link broke. */
  linkLost({ name, incarnation }: Contact, now: number): void {
    this.#forgetOld(now);
    this.#absent.set(name, {
      incarnation,
      until: now + LINK_LOST_MS,
      times: 0,
    });
  }

  /**
   * Nobody answers at its address.
   *
   * @returns how many times in a row.
   */
  dialFailed({ name, incarnation }: Contact, now: number): number {
    const times = (this.#absent.get(name)?.times ?? 0) + 1;
    const span = FIRST_UNREACHABLE_MS * 2 ** (times - 1);
    const until = now + Math.min(LONGEST_UNREACHABLE_MS, span);
    this.#absent.set(name, { incarnation, until, times });
    return times;
  }

  /** It answers. */
  markReachable(name: string): void {
    this.#absent.delete(name);
  }

  /** Whether a daemon is taken to answer. */
  isReachable({ name, incarnation }: Contact, now: number): boolean {
    const absence = this.#absent.get(name);
    if (absence === undefined) return true;
    return absence.incarnation !== incarnation || absence.until <= now;
  }

  /** Hosts that were replaced do not come back under their names. */
  #forgetOld(now: number): void {
    for (const [name, { until }] of this.#absent) {
      if (now - until > REMEMBERED_MS) this.#absent.delete(name);
    }
  }
}
