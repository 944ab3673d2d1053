/**
 * The soft state of a broker: waiting asks and granted slots, indexed by ask and
 * by entry daemon.
 *
 * @module
 */
import type { GrantedSlot } from "./runner_state.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

/** The asks and slots of one entry. */
interface EntryAccount {
  /** Monotonic milliseconds of its last message. */
  lastActivityAt: number;
  readonly waitingAsks: Set<string>;
  readonly heldSlots: Set<string>;
  /** Consecutive heartbeats whose counts did not match this account. */
  mismatches: number;
}

/** Waiting asks and granted slots, with the entries that own them. */
export class BrokerState {
  readonly #waiting = new Map<string, WaitingAsk>();
  readonly #held = new Map<string, GrantedSlot>();
  readonly #accounts = new Map<string, EntryAccount>();
  readonly #heldByClass = new Map<string, number>();

  /** Number of waiting asks. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Number of slots in use. */
  get inFlight(): number {
    return this.#held.size;
  }

  /** Number of slots in use by a class. */
  inFlightOf(className: string): number {
    return this.#heldByClass.get(className) ?? 0;
  }

  /** Entries that have sent a message. */
  get entries(): readonly string[] {
    return [...this.#accounts.keys()];
  }

  /** Records that an entry has sent a message. */
  recordActivity(entry: string, now: number): void {
    this.#account(entry).lastActivityAt = now;
  }

  /** Milliseconds since the last message from an entry. */
  idleMs(entry: string, now: number): number {
    return now - (this.#accounts.get(entry)?.lastActivityAt ?? -Infinity);
  }

  findWaiting(askId: string): WaitingAsk | undefined {
    return this.#waiting.get(askId);
  }

  findHeld(askId: string): GrantedSlot | undefined {
    return this.#held.get(askId);
  }

  /** Waiting asks of one entry, or of all entries. */
  waitingAsks(entry?: string): readonly WaitingAsk[] {
    if (entry === undefined) return [...this.#waiting.values()];
    const ids = this.#accounts.get(entry)?.waitingAsks ?? [];
    return [...ids].map((id) => this.#waiting.get(id))
      .filter((ask) => ask !== undefined);
  }

  /** Slots that an entry holds. */
  heldSlots(entry: string): readonly GrantedSlot[] {
    const ids = this.#accounts.get(entry)?.heldSlots ?? [];
    return [...ids].map((id) => this.#held.get(id))
      .filter((slot) => slot !== undefined);
  }

  addWaiting(waiting: WaitingAsk): void {
    this.#waiting.set(waiting.ask.askId, waiting);
    this.#account(waiting.entry).waitingAsks.add(waiting.ask.askId);
  }

  removeWaiting(waiting: WaitingAsk): void {
    this.#waiting.delete(waiting.ask.askId);
    this.#accounts.get(waiting.entry)?.waitingAsks.delete(waiting.ask.askId);
  }

  /** Adds a slot and replaces an earlier one of the same ask. */
  addHeld(held: GrantedSlot): void {
    const previous = this.#held.get(held.askId);
    if (previous !== undefined) this.removeHeld(previous);
    this.#held.set(held.askId, held);
    this.#countClass(held.class, 1);
    this.#account(held.entry).heldSlots.add(held.askId);
  }

  removeHeld(held: GrantedSlot): void {
    if (!this.#held.delete(held.askId)) return;
    this.#countClass(held.class, -1);
    this.#accounts.get(held.entry)?.heldSlots.delete(held.askId);
  }

  /** Removes an entry that has neither asks nor slots left. */
  removeEntry(entry: string): void {
    this.#accounts.delete(entry);
  }

  /**
   * Compares an entry's own counts with this state.
   *
   * @returns the number of consecutive mismatches. Messages in transit cause
   * brief mismatches; a lasting mismatch means that a message was lost.
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

  /** Resets the mismatches of an entry after its snapshot. */
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
