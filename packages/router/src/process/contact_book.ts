/**
 * The daemons that a daemon knows by address: a bounded part of the fleet.
 *
 * @module
 */
import { inRankOrder, ranksBefore } from "./contact.ts";
import type { Contact } from "./contact.ts";
import { groupBy } from "./group.ts";

/**
 * Milliseconds for which a life that was found dead is not entered again. Daemons
 * that have not heard of its end go on naming it; without this each of them
 * would have all others dial it once more.
 */
const DEAD_MS = 30_000;

/** One life of a daemon that ended, or cannot be reached. */
export type DeadContact = Pick<Contact, "name" | "incarnation">;

/** What changed in a book since the last look. */
export interface ContactUpdates {
  readonly contacts: readonly Contact[];
  readonly gone: readonly DeadContact[];
}

interface Death {
  readonly incarnation: string;
  readonly until: number;
}

/**
 * Keeps the first contacts of each failure domain by rank, at most a fixed number
 * in all. Which those are follows from the fleet alone, so that books agree once
 * news has gone round, and links are chosen by them; a book of the whole fleet
 * would be sent whole on each new link, 195 times 195 times when all start.
 *
 * @example
 * ```ts
 * const book = new ContactBook(own, 48);
 * if (book.add(contact, performance.now())) tellOthers(book.takeNews());
 * ```
 */
export class ContactBook {
  readonly #own: Contact;
  readonly #most: number;
  readonly #contacts = new Map<string, Contact>();
  readonly #dead = new Map<string, Death>();
  #news = new Map<string, Contact>();
  #gone = new Map<string, DeadContact>();

  /**
   * @param own the daemon that keeps the book; it is not in it.
   * @param most contacts that are kept, of all failure domains together.
   */
  constructor(own: Contact, most: number) {
    this.#own = own;
    this.#most = most;
  }

  get size(): number {
    return this.#contacts.size;
  }

  /** All contacts, without this daemon. */
  all(): readonly Contact[] {
    return [...this.#contacts.values()];
  }

  /**
   * Enters a contact that another daemon names.
   *
   * @returns whether the book holds something new.
   */
  add(contact: Contact, now: number): boolean {
    const dead = this.#dead.get(contact.name);
    if (dead?.incarnation === contact.incarnation) {
      if (now < dead.until) return false;
      this.#dead.delete(contact.name);
    }
    return this.#enter(contact);
  }

  /**
   * Enters a daemon that answers by itself: it lives, whatever was told of it.
   *
   * @returns whether the book holds something new.
   */
  addReachable(contact: Contact): boolean {
    this.#dead.delete(contact.name);
    return this.#enter(contact);
  }

  /**
   * Strikes out one life of a daemon; a later one stays.
   *
   * @returns whether the book held it.
   */
  remove({ name, incarnation }: DeadContact, now: number): boolean {
    for (const [dead, { until }] of this.#dead) {
      if (until <= now) this.#dead.delete(dead);
    }
    this.#dead.set(name, { incarnation, until: now + DEAD_MS });
    if (this.#contacts.get(name)?.incarnation !== incarnation) return false;
    this.#contacts.delete(name);
    this.#news.delete(name);
    this.#gone.set(name, { name, incarnation });
    return true;
  }

  /** What changed since the last call, for other daemons. */
  takeUpdates(): ContactUpdates {
    const news = {
      contacts: [...this.#news.values()],
      gone: [...this.#gone.values()],
    };
    this.#news = new Map();
    this.#gone = new Map();
    return news;
  }

  /** Whether {@linkcode takeUpdates} would give anything. */
  get hasUpdates(): boolean {
    return this.#news.size > 0 || this.#gone.size > 0;
  }

  #enter(contact: Contact): boolean {
    const { name } = contact;
    if (name === this.#own.name) return false;
    const known = this.#contacts.get(name);
    const same = known?.incarnation === contact.incarnation &&
      known.address === contact.address;
    if (same) return false;
    this.#contacts.set(name, contact);
    if (this.#contacts.size > this.#most) {
      const last = this.#leastNeeded();
      this.#contacts.delete(last.name);
      this.#news.delete(last.name);
      if (last.name === name) return false;
    }
    this.#gone.delete(name);
    this.#news.set(name, contact);
    return true;
  }

  /** The last by rank of the failure domain with the most contacts. */
  #leastNeeded(): Contact {
    const domains = groupBy(this.all(), ({ failureDomain }) => failureDomain);
    let fullest: readonly Contact[] = [];
    for (const domain of domains.values()) {
      if (this.#isFuller(domain, fullest)) fullest = domain;
    }
    return inRankOrder(fullest).at(-1)!;
  }

  #isFuller(one: readonly Contact[], other: readonly Contact[]): boolean {
    if (one.length !== other.length) return one.length > other.length;
    return ranksBefore(one[0]!, other[0]!);
  }
}
