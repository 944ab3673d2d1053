/**
 * Contacts of other daemons, which are a bounded part of the fleet.
 *
 * @module
 */
import { inRankOrder, ranksBefore } from "./contact.ts";
import type { Contact } from "./contact.ts";
import { groupBy } from "./group.ts";

/**
 * Time in ms for which a dead incarnation is not added again. Daemons that have not
 * received its removal yet keep sending its contact; without this time each of them
 * would make all others dial it once more.
 */
const TOMBSTONE_MS = 30_000;

/** An incarnation of a daemon that has ended or is unreachable. */
export type DeadContact = Pick<Contact, "name" | "incarnation">;

/** Changes of a book since the last call of {@linkcode ContactBook.takeUpdates}. */
export interface ContactUpdates {
  /** Contacts that were added or changed. */
  readonly contacts: readonly Contact[];
  /** Contacts that were removed. */
  readonly gone: readonly DeadContact[];
}

interface Tombstone {
  readonly incarnation: string;
  readonly until: number;
}

/**
 * Keeps the first contacts of each failure domain by rank, up to a fixed total.
 * The selection depends on the fleet alone, so that the books of all daemons agree
 * once updates have spread, and links are chosen from them. The book is bounded
 * because it is sent in full on each new link; with all 195 daemons in it, a start
 * of the whole fleet would send 195 times 195 contacts.
 *
 * @example
 * ```ts
 * const book = new ContactBook(own, 48);
 * if (book.add(contact, performance.now())) broadcast(book.takeUpdates());
 * ```
 */
export class ContactBook {
  readonly #own: Contact;
  readonly #maxContacts: number;
  readonly #contacts = new Map<string, Contact>();
  readonly #tombstones = new Map<string, Tombstone>();
  #added = new Map<string, Contact>();
  #removed = new Map<string, DeadContact>();

  /**
   * @param own the daemon that keeps the book; the book does not contain it.
   * @param maxContacts maximum number of contacts of all failure domains.
   */
  constructor(own: Contact, maxContacts: number) {
    this.#own = own;
    this.#maxContacts = maxContacts;
  }

  get size(): number {
    return this.#contacts.size;
  }

  /** Returns all contacts, without this daemon. */
  all(): readonly Contact[] {
    return [...this.#contacts.values()];
  }

  /**
   * Adds a contact that another daemon has sent, unless it is known to be dead.
   *
   * @returns whether the book has changed.
   */
  add(contact: Contact, now: number): boolean {
    const tombstone = this.#tombstones.get(contact.name);
    if (tombstone?.incarnation === contact.incarnation) {
      if (now < tombstone.until) return false;
      this.#tombstones.delete(contact.name);
    }
    return this.#insert(contact);
  }

  /**
   * Adds a daemon that has responded itself, and is therefore alive whatever other
   * daemons have sent.
   *
   * @returns whether the book has changed.
   */
  addReachable(contact: Contact): boolean {
    this.#tombstones.delete(contact.name);
    return this.#insert(contact);
  }

  /**
   * Removes one incarnation of a daemon; a later one is kept.
   *
   * @returns whether the book contained it.
   */
  remove({ name, incarnation }: DeadContact, now: number): boolean {
    for (const [dead, { until }] of this.#tombstones) {
      if (until <= now) this.#tombstones.delete(dead);
    }
    this.#tombstones.set(name, { incarnation, until: now + TOMBSTONE_MS });
    if (this.#contacts.get(name)?.incarnation !== incarnation) return false;
    this.#contacts.delete(name);
    this.#added.delete(name);
    this.#removed.set(name, { name, incarnation });
    return true;
  }

  /** Returns the changes since the last call, to be sent to other daemons. */
  takeUpdates(): ContactUpdates {
    const updates = {
      contacts: [...this.#added.values()],
      gone: [...this.#removed.values()],
    };
    this.#added = new Map();
    this.#removed = new Map();
    return updates;
  }

  /** Whether {@linkcode takeUpdates} would return any changes. */
  get hasUpdates(): boolean {
    return this.#added.size > 0 || this.#removed.size > 0;
  }

  #insert(contact: Contact): boolean {
    const { name } = contact;
    if (name === this.#own.name) return false;
    const known = this.#contacts.get(name);
    const same = known?.incarnation === contact.incarnation &&
      known.address === contact.address;
    if (same) return false;
    this.#contacts.set(name, contact);
    if (this.#contacts.size > this.#maxContacts) {
      const evicted = this.#evictionCandidate();
      this.#contacts.delete(evicted.name);
      this.#added.delete(evicted.name);
      if (evicted.name === name) return false;
    }
    this.#removed.delete(name);
    this.#added.set(name, contact);
    return true;
  }

  /** Returns the last contact by rank of the largest failure domain. */
  #evictionCandidate(): Contact {
    const domains = groupBy(this.all(), ({ failureDomain }) => failureDomain);
    let largest: readonly Contact[] = [];
    for (const domain of domains.values()) {
      if (this.#isLarger(domain, largest)) largest = domain;
    }
    return inRankOrder(largest).at(-1)!;
  }

  /** Compares two failure domains by size, with a tie-break by rank. */
  #isLarger(a: readonly Contact[], b: readonly Contact[]): boolean {
    if (a.length !== b.length) return a.length > b.length;
    return ranksBefore(a[0]!, b[0]!);
  }
}
