/**
 * What a broker knows of the entry daemons that ask it.
 *
 * @module
 */

/** What one entry has here. */
export interface EntryAccount {
  readonly name: string;
  /** Monotonic milliseconds of its last message. */
  heardAt: number;
  readonly waiting: Set<string>;
  readonly held: Set<string>;
  /** Beats in a row that did not match this account. */
  mismatches: number;
}

/** Accounts of all entries. */
export class EntryBook {
  readonly #accounts = new Map<string, EntryAccount>();

  /** The account of an entry; the entry was heard now. */
  heard(name: string, now: number): EntryAccount {
    const known = this.#accounts.get(name);
    if (known !== undefined) {
      known.heardAt = now;
      return known;
    }
    const made: EntryAccount = {
      name,
      heardAt: now,
      waiting: new Set(),
      held: new Set(),
      mismatches: 0,
    };
    this.#accounts.set(name, made);
    return made;
  }

  find(name: string): EntryAccount | undefined {
    return this.#accounts.get(name);
  }

  remove(name: string): void {
    this.#accounts.delete(name);
  }

  /** All accounts. */
  all(): readonly EntryAccount[] {
    return [...this.#accounts.values()];
  }
}
