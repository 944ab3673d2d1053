/**
 * The broker of one service: orders the asks of all entry daemons and grants
 * them slots at the runners.
 *
 * Its state is soft. The entries hold the truth and present it to whichever
 * daemon they take for the broker, so a broker may vanish, or two may act at
 * once, without a grant being lost or doubled: an ask is known by its id, a
 * grant names the ask's epoch, and an entry takes only the one of the epoch in
 * which it last asked.
 *
 * @module
 */
import type { Table } from "@umbermast/table";
import { AskAppraisal } from "./admission_control.ts";
import { BrokerAnswers } from "./broker_replies.ts";
import { BrokerBooks } from "./broker_state.ts";
import type { BrokerDependencies } from "./broker_dependencies.ts";
import { FairQueue } from "./fair_queue.ts";

import { Granting } from "./grant_dispatcher.ts";
import type {
  AskMessage,
  EntrySnapshotMessage,
  HeartbeatMessage,
  HeldSlot,
  ReleaseMessage,
} from "./messages.ts";
import { PauseWatch } from "./pause_detector.ts";
import { RunnerLearning } from "./runner_feedback.ts";
import { RunnerPool } from "./runner_pool.ts";
import { SlotLedger } from "./slot_ledger.ts";
import type { Waiting } from "./waiting_ask.ts";

/** An entry that says nothing for this long is granted nothing. */
const QUIET_MS = 2_000;
/** An entry that says nothing for this long has lost what it asked and held. */
const LOST_MS = 6_000;
const MISMATCHES_BEFORE_RESYNC = 2;

/** Grants the slots of one service's runners to the asks of all entry daemons. */
export class Broker {
  readonly #service: string;
  readonly #parts: BrokerDependencies;
  readonly #queue: FairQueue;
  readonly #pool: RunnerPool;
  readonly #learning: RunnerLearning;
  readonly #appraisal: AskAppraisal;
  readonly #answers: BrokerAnswers;
  readonly #books = new BrokerBooks();
  readonly #slots: SlotLedger;
  readonly #granting: Granting;
  readonly #pauses: PauseWatch;
  #heardAt: number;
  #opensAt = -Infinity;

  constructor(service: string, parts: BrokerDependencies) {
    this.#service = service;
    this.#parts = parts;
    const table = parts.table.current();
    const { switches, bounds } = parts;
    this.#queue = new FairQueue(table, {
      switches,
      usage: this.#books,
      ...(bounds === undefined ? {} : { bounds }),
    });
    const queue = this.#queue;
    const pool = new RunnerPool(service, { table, switches });
    const learning = new RunnerLearning(pool, switches);
    pool.setRunners(parts.directory.runners(service));
    this.#pool = pool;
    this.#learning = learning;
    this.#appraisal = new AskAppraisal({ queue, pool, learning, switches });
    this.#answers = new BrokerAnswers(service, parts);
    this.#slots = new SlotLedger({ pool, books: this.#books, table });
    this.#granting = new Granting({
      queue,
      pool,
      books: this.#books,
      slots: this.#slots,
      answers: this.#answers,
      members: parts.members,
    });
    this.#pauses = new PauseWatch(parts.clock);
    this.#heardAt = this.#now;
  }

  /** Milliseconds since an entry was last heard. */
  get idleMs(): number {
    return this.#now - this.#heardAt;
  }

  /** Asks that wait here. */
  get waitingCount(): number {
    return this.#books.waiting;
  }

  /** Slots in use through this broker. */
  get inFlight(): number {
    return this.#books.inFlight;
  }

  /**
   * Grants nothing for a while. A broker that has just begun knows only the
   * slots of the entries that have presented theirs; granting at once would
   * give the others' slots a second time.
   */
  pauseGranting(ms: number): void {
    this.#opensAt = this.#now + ms;
  }

  /** Takes an ask. One that is known already changes nothing but its epoch. */
  ask(entry: string, ask: AskMessage): void {
    const now = this.#hear(entry);
    const held = this.#books.findHeld(ask.askId);
    if (held !== undefined) {
      // The entry asks again since it did not get the grant: the link dropped
      // it. The same slot is granted again, so none is lost and none doubled.
      const again = { ...held, entry, epoch: ask.epoch };
      this.#books.addHeld(again);
      return this.#answers.repeat(again);
    }
    const former = this.#books.findWaiting(ask.askId);
    if (former !== undefined) this.#granting.forget(former);
    this.#admit(this.#appraisal.describe(entry, { ask, now }), now);
    this.#drain();
  }

  /** Forgets an ask, or frees the slot that was granted to it meanwhile. */
  withdraw(entry: string, askId: string): void {
    this.#hear(entry);
    const waiting = this.#books.findWaiting(askId);
    if (waiting?.entry === entry) this.#granting.forget(waiting);
    const held = this.#books.findHeld(askId);
    if (held?.entry === entry) this.#slots.abandon(held);
    this.#drain();
  }

  /** Frees a slot and settles what it cost. */
  release(entry: string, message: ReleaseMessage): void {
    const now = this.#hear(entry);
    const held = this.#books.findHeld(message.askId);
    if (held === undefined) return;
    const end = { settlement: message.settlement, now };
    this.#learning.settled(held, end);
    const excess = this.#appraisal.learn(held, end) - held.cost;
    this.#slots.settle(held, excess);
    if (this.#parts.switches.costEstimate) this.#queue.settle(held, excess);
    this.#drain();
  }

  /** Takes all that an entry has in place of what was known of it. */
  applySnapshot(entry: string, message: EntrySnapshotMessage): void {
    const now = this.#hear(entry);
    this.#books.reconciled(entry);
    const waiting = new Set(message.waiting);
    const held = new Set(message.held.map((it) => it.askId));
    for (const known of this.#books.allWaiting(entry)) {
      if (!waiting.has(known.ask.askId)) this.#granting.forget(known);
    }
    for (const known of this.#books.allHeld(entry)) {
      // One that the entry still waits for is on its way to it, or was lost on
      // the way: the ask that follows gets the same grant again.
      if (held.has(known.askId) || waiting.has(known.askId)) continue;
      this.#slots.abandon(known);
    }
    for (const slot of message.held) this.#adopt(entry, slot, now);
    this.#drain();
  }

  /** Answers a sign of life, and asks for a presentation when books differ. */
  heartbeat(entry: string, message: HeartbeatMessage): void {
    this.#hear(entry);
    const mismatches = this.#books.compare(entry, message);
    const resync = mismatches >= MISMATCHES_BEFORE_RESYNC;
    this.#answers.alive(entry, { resync });
  }

  /** Takes the runners that the directory has now; slots at others are lost. */
  runnersChanged(): void {
    const runners = this.#parts.directory.runners(this.#service);
    for (const held of this.#pool.setRunners(runners)) this.#slots.lose(held);
    this.#drain();
  }

  /** The table has changed; what waits is ordered and limited by it at once. */
  tableChanged(table: Table): void {
    this.#slots.setTable(table);
    this.#queue.setTable(table);
    this.#pool.setTable(table, this.#service);
    this.#drain();
  }

  /** Learns from a runner's newest report, and grants what it makes room for. */
  reportReceived(runner: string): void {
    const report = this.#parts.reports.get(runner);
    if (report === undefined) return;
    this.#learning.reported(runner, report, this.#now);
    this.#drain();
  }

  /** An entry has left or died: its asks go, and its slots after a while. */
  entryGone(entry: string): void {
    for (const waiting of this.#books.allWaiting(entry)) {
      this.#granting.forget(waiting);
    }
    this.#drain();
  }

  /** To be called several times a second. */
  tick(): void {
    const now = this.#wake();
    for (const entry of this.#books.entries) {
      const quietMs = this.#books.quietMs(entry, now);
      if (quietMs > LOST_MS) this.#dropEntry(entry);
      else if (quietMs > QUIET_MS) this.entryGone(entry);
    }
    for (const waiting of this.#books.allWaiting()) {
      if (waiting.deadlineAt <= now) this.#granting.expire(waiting);
    }
    this.#drain();
  }

  get #now(): number {
    return this.#parts.clock.monotonic();
  }

  #hear(entry: string): number {
    const now = this.#wake();
    this.#heardAt = now;
    this.#books.heard(entry, now);
    return now;
  }

  /**
   * The present moment, after a check that this process was not paused. A
   * broker that wakes from a pause believes in asks that its entries have long
   * taken elsewhere; granting them would fill runners with work that nobody
   * sends. All is forgotten; the entries that still hold to it present anew.
   */
  #wake(): number {
    const now = this.#now;
    const gapMs = this.#pauses.look();
    if (gapMs === 0) return now;
    const { waiting, inFlight } = this.#books;
    const service = this.#service;
    this.#parts.log.event("broker_woke", { service, gapMs, waiting, inFlight });
    for (const entry of this.#books.entries) {
      this.#dropEntry(entry);
      this.#answers.alive(entry, { resync: true });
    }
    return now;
  }

  #admit(waiting: Waiting, now: number): void {
    const { ask, entry } = waiting;
    if (ask.remainingMs <= 0) {
      return this.#answers.refuse(entry, ask, { code: "deadline_passed" });
    }
    const row = this.#slots.rowOf(ask);
    const verdict = this.#appraisal.hopeless(waiting, { now, row });
    if (verdict !== undefined) return this.#answers.refuse(entry, ask, verdict);
    const { shed } = this.#queue.offer(waiting);
    this.#books.addWaiting(waiting);
    for (const victim of shed) {
      this.#books.removeWaiting(victim);
      this.#answers.shed(victim, {
        tier: this.#queue.tierOf(victim.ask.class),
        waiting: this.#queue.length,
      });
    }
  }

  #drain(): void {
    const now = this.#now;
    if (now >= this.#opensAt) this.#granting.drain(now);
  }

  /** Takes in a slot that another broker granted. */
  #adopt(entry: string, slot: HeldSlot, now: number): void {
    const waiting = this.#books.findWaiting(slot.askId);
    if (waiting !== undefined) this.#granting.forget(waiting);
    const cost = this.#appraisal.costOf(slot);
    this.#slots.adopt({ ...slot, entry, cost, grantedAt: now, epoch: 0 });
  }

  #dropEntry(entry: string): void {
    for (const waiting of this.#books.allWaiting(entry)) {
      this.#granting.forget(waiting);
    }
    for (const held of this.#books.allHeld(entry)) this.#slots.abandon(held);
    this.#books.removeEntry(entry);
  }
}
