/**
 * What waits and what is held at a broker, by ask and by entry daemon.
 *
 * @module
 */
import type { Held } from "./runner_state.ts";
import type { Waiting } from "./waiting_ask.ts";

/** What one entry has here. */
interface Account {
  /** Monotonic milliseconds of its last message. */
  heardAt: number;
  readonly waiting: Set<string>;
  readonly held: Set<string>;
  /** Beats in a row that did not match this account. */
  mismatches: number;
}

/** Waiting asks and held slots, and whose they are. */
export class BrokerBooks {
  readonly #waiting = new Map<string, Waiting>();
  readonly #held = new Map<string, Held>();
  readonly #accounts = new Map<string, Account>();
  readonly #heldByClass = new Map<string, number>();

  /** Asks that wait. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Slots in use. */
  get inFlight(): number {
    return this.#held.size;
  }

  /** Slots in use by a class. */
  inFlightOf(className: string): number {
    return this.#heldByClass.get(className) ?? 0;
  }

  /** Entries that have been heard. */
  get entries(): readonly string[] {
    return [...this.#accounts.keys()];
  }

  /** Notes a sign of life. */
  heard(entry: string, now: number): void {
    this.#account(entry).heardAt = now;
  }

  /** Milliseconds since an entry was last heard. */
  quietMs(entry: string, now: number): number {
    return now - (this.#accounts.get(entry)?.heardAt ?? -Infinity);
  }

  findWaiting(askId: string): Waiting | undefined {
    return this.#waiting.get(askId);
  }

  findHeld(askId: string): Held | undefined {
    return this.#held.get(askId);
  }

  /** What waits, of one entry or of all. */
  allWaiting(entry?: string): readonly Waiting[] {
    if (entry === undefined) return [...this.#waiting.values()];
    const ids = this.#accounts.get(entry)?.waiting ?? [];
    return [...ids].map((id) => this.#waiting.get(id))
      .filter((it) => it !== undefined);
  }

  /** What an entry holds. */
  allHeld(entry: string): readonly Held[] {
    const ids = this.#accounts.get(entry)?.held ?? [];
    return [...ids].map((id) => this.#held.get(id))
      .filter((it) => it !== undefined);
  }

  addWaiting(waiting: Waiting): void {
    this.#waiting.set(waiting.ask.askId, waiting);
    this.#account(waiting.entry).waiting.add(waiting.ask.askId);
  }

  removeWaiting(waiting: Waiting): void {
    this.#waiting.delete(waiting.ask.askId);
    this.#accounts.get(waiting.entry)?.waiting.delete(waiting.ask.askId);
  }

  /** Books a slot, in place of an earlier booking of the same ask. */
  addHeld(held: Held): void {
    const former = this.#held.get(held.askId);
    if (former !== undefined) this.removeHeld(former);
    this.#held.set(held.askId, held);
    this.#countClass(held.class, 1);
    this.#account(held.entry).held.add(held.askId);
  }

  removeHeld(held: Held): void {
    if (!this.#held.delete(held.askId)) return;
    this.#countClass(held.class, -1);
    this.#accounts.get(held.entry)?.held.delete(held.askId);
  }

  /** Forgets an entry that has nothing here any more. */
  removeEntry(entry: string): void {
    this.#accounts.delete(entry);
  }

  /**
   * Sets an entry's own counts against the books.
   *
   * @returns how many times in a row they have differed. Messages under way make
   * them differ for a moment; a difference that stays means that one was lost.
   */
  compare(
    entry: string,
    counts: { readonly waiting: number; readonly held: number },
  ): number {
    const account = this.#account(entry);
    const agrees = account.waiting.size === counts.waiting &&
      account.held.size === counts.held;
    account.mismatches = agrees ? 0 : account.mismatches + 1;
    return account.mismatches;
  }

  /** An entry has presented all that it has. */
  reconciled(entry: string): void {
    this.#account(entry).mismatches = 0;
  }

  #countClass(className: string, change: number): void {
    this.#heldByClass.set(className, this.inFlightOf(className) + change);
  }

  #account(entry: string): Account {
    const known = this.#accounts.get(entry);
    if (known !== undefined) return known;
    const made: Account = {
      heardAt: -Infinity,
      waiting: new Set(),
      held: new Set(),
      mismatches: 0,
    };
    this.#accounts.set(entry, made);
    return made;
  }
}
