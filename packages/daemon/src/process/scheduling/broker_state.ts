/**
 * What waits and what is held at a broker, by ask and by entry daemon.
 *
 * @module
 */
import type { GrantedSlot } from "./runner_state.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

/** What one entry has here. */
interface EntryAccount {
  /** Monotonic milliseconds of its last message. */
  lastActivityAt: number;
  readonly waitingAsks: Set<string>;
  readonly heldSlots: Set<string>;
  /** Beats in a row that did not match this account. */
  mismatches: number;
}

/** Waiting asks and held slots, and whose they are. */
export class BrokerState {
  readonly #waiting = new Map<string, WaitingAsk>();
  readonly #held = new Map<string, GrantedSlot>();
  readonly #accounts = new Map<string, EntryAccount>();
  readonly #heldByClass = new Map<string, number>();

  /** Asks that wait. */
  get waitingCount(): number {
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
  recordActivity(entry: string, now: number): void {
    this.#account(entry).lastActivityAt = now;
  }

  /** Milliseconds since an entry was last heard. */
  idleMs(entry: string, now: number): number {
    return now - (this.#accounts.get(entry)?.lastActivityAt ?? -Infinity);
  }

  findWaiting(askId: string): WaitingAsk | undefined {
    return this.#waiting.get(askId);
  }

  findHeld(askId: string): GrantedSlot | undefined {
    return this.#held.get(askId);
  }

  /** What waits, of one entry or of all. */
  waitingAsks(entry?: string): readonly WaitingAsk[] {
    if (entry === undefined) return [...this.#waiting.values()];
    const ids = this.#accounts.get(entry)?.waitingAsks ?? [];
    return [...ids].map((id) => this.#waiting.get(id))
      .filter((it) => it !== undefined);
  }

  /** What an entry holds. */
  heldSlots(entry: string): readonly GrantedSlot[] {
    const ids = this.#accounts.get(entry)?.heldSlots ?? [];
    return [...ids].map((id) => this.#held.get(id))
      .filter((it) => it !== undefined);
  }

  addWaiting(waiting: WaitingAsk): void {
    this.#waiting.set(waiting.ask.askId, waiting);
    this.#account(waiting.entry).waitingAsks.add(waiting.ask.askId);
  }

  removeWaiting(waiting: WaitingAsk): void {
    this.#waiting.delete(waiting.ask.askId);
    this.#accounts.get(waiting.entry)?.waitingAsks.delete(waiting.ask.askId);
  }

  /** Books a slot, in place of an earlier booking of the same ask. */
  addHeld(held: GrantedSlot): void {
    const former = this.#held.get(held.askId);
    if (former !== undefined) this.removeHeld(former);
    this.#held.set(held.askId, held);
    this.#countClass(held.class, 1);
    this.#account(held.entry).heldSlots.add(held.askId);
  }

  removeHeld(held: GrantedSlot): void {
    if (!this.#held.delete(held.askId)) return;
    this.#countClass(held.class, -1);
    this.#accounts.get(held.entry)?.heldSlots.delete(held.askId);
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
  compareCounts(
    entry: string,
    counts: { readonly waiting: number; readonly held: number },
  ): number {
    const account = this.#account(entry);
    const matches = account.waitingAsks.size === counts.waiting &&
      account.heldSlots.size === counts.held;
    account.mismatches = matches ? 0 : account.mismatches + 1;
    return account.mismatches;
  }

  /** An entry has presented all that it has. */
  resetMismatches(entry: string): void {
    this.#account(entry).mismatches = 0;
  }

  #countClass(className: string, change: number): void {
    this.#heldByClass.set(className, this.inFlightOf(className) + change);
  }

  #account(entry: string): EntryAccount {
    const existing = this.#accounts.get(entry);
    if (existing !== undefined) return existing;
    const created: EntryAccount = {
      lastActivityAt: -Infinity,
      waitingAsks: new Set(),
      heldSlots: new Set(),
      mismatches: 0,
    };
    this.#accounts.set(entry, created);
    return created;
  }
}
