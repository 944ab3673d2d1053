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
import { AdmissionControl } from "./admission_control.ts";
import { BrokerReplies } from "./broker_replies.ts";
import { BrokerState } from "./broker_state.ts";
import type { BrokerDependencies } from "./broker_dependencies.ts";
import { FairQueue } from "./fair_queue.ts";

import { GrantDispatcher } from "./grant_dispatcher.ts";
import type {
  AskMessage,
  EntrySnapshotMessage,
  HeartbeatMessage,
  HeldSlot,
  ReleaseMessage,
} from "./messages.ts";
import { PauseDetector } from "./pause_detector.ts";
import { RunnerFeedback } from "./runner_feedback.ts";
import { RunnerPool } from "./runner_pool.ts";
import { SlotLedger } from "./slot_ledger.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

/** An entry that says nothing for this long is granted nothing. */
const ENTRY_IDLE_MS = 2_000;
/** An entry that says nothing for this long has lost what it asked and held. */
const ENTRY_TIMEOUT_MS = 6_000;
const MISMATCHES_BEFORE_RESYNC = 2;

/** Grants the slots of one service's runners to the asks of all entry daemons. */
export class Broker {
  readonly #service: string;
  readonly #dependencies: BrokerDependencies;
  readonly #queue: FairQueue;
  readonly #pool: RunnerPool;
  readonly #feedback: RunnerFeedback;
  readonly #admission: AdmissionControl;
  readonly #replies: BrokerReplies;
  readonly #state = new BrokerState();
  readonly #slots: SlotLedger;
  readonly #dispatcher: GrantDispatcher;
  readonly #pauseDetector: PauseDetector;
  #lastActivityAt: number;
  #grantsFrom = -Infinity;

  constructor(service: string, dependencies: BrokerDependencies) {
    this.#service = service;
    this.#dependencies = dependencies;
    const table = dependencies.table.current();
    const { switches, bounds } = dependencies;
    this.#queue = new FairQueue(table, {
      switches,
      usage: this.#state,
      ...(bounds === undefined ? {} : { bounds }),
    });
    const queue = this.#queue;
    const pool = new RunnerPool(service, { table, switches });
    const feedback = new RunnerFeedback(pool, switches);
    pool.setRunners(dependencies.directory.runners(service));
    this.#pool = pool;
    this.#feedback = feedback;
    this.#admission = new AdmissionControl({
      queue,
      pool,
      feedback: feedback,
      switches,
    });
    this.#replies = new BrokerReplies(service, dependencies);
    this.#slots = new SlotLedger({ pool, state: this.#state, table });
    this.#dispatcher = new GrantDispatcher({
      queue,
      pool,
      state: this.#state,
      slots: this.#slots,
      replies: this.#replies,
      members: dependencies.members,
    });
    this.#pauseDetector = new PauseDetector(dependencies.clock);
    this.#lastActivityAt = this.#now;
  }

  /** Milliseconds since an entry was last heard. */
  get idleMs(): number {
    return this.#now - this.#lastActivityAt;
  }

  /** Asks that wait here. */
  get waitingCount(): number {
    return this.#state.waitingCount;
  }

  /** Slots in use through this broker. */
  get inFlight(): number {
    return this.#state.inFlight;
  }

  /**
   * Grants nothing for a while. A broker that has just begun knows only the
   * slots of the entries that have presented theirs; granting at once would
   * give the others' slots a second time.
   */
  pauseGranting(ms: number): void {
    this.#grantsFrom = this.#now + ms;
  }

  /** Takes an ask. One that is known already changes nothing but its epoch. */
  ask(entry: string, ask: AskMessage): void {
    const now = this.#recordActivity(entry);
    const held = this.#state.findHeld(ask.askId);
    if (held !== undefined) {
      // The entry asks again since it did not get the grant: the link dropped
      // it. The same slot is granted again, so none is lost and none doubled.
      const regrant = { ...held, entry, epoch: ask.epoch };
      this.#state.addHeld(regrant);
      return this.#replies.sendGrant(regrant);
    }
    const previous = this.#state.findWaiting(ask.askId);
    if (previous !== undefined) this.#dispatcher.remove(previous);
    this.#admit(this.#admission.estimate(entry, { ask, now }), now);
    this.#drain();
  }

  /** Forgets an ask, or frees the slot that was granted to it meanwhile. */
  withdraw(entry: string, askId: string): void {
    this.#recordActivity(entry);
    const waiting = this.#state.findWaiting(askId);
    if (waiting?.entry === entry) this.#dispatcher.remove(waiting);
    const held = this.#state.findHeld(askId);
    if (held?.entry === entry) this.#slots.abandon(held);
    this.#drain();
  }

  /** Frees a slot and settles what it cost. */
  release(entry: string, message: ReleaseMessage): void {
    const now = this.#recordActivity(entry);
    const held = this.#state.findHeld(message.askId);
    if (held === undefined) return;
    const end = { settlement: message.settlement, now };
    this.#feedback.recordSettlement(held, end);
    const excessCost = this.#admission.recordSettlement(held, end) - held.cost;
    this.#slots.settle(held, excessCost);
    if (this.#dependencies.switches.costEstimate) {
      this.#queue.settle(held, excessCost);
    }
    this.#drain();
  }

  /** Takes all that an entry has in place of what was known of it. */
  applySnapshot(entry: string, message: EntrySnapshotMessage): void {
    const now = this.#recordActivity(entry);
    this.#state.resetMismatches(entry);
    const waiting = new Set(message.waiting);
    const held = new Set(message.held.map((slot) => slot.askId));
    for (const known of this.#state.waitingAsks(entry)) {
      if (!waiting.has(known.ask.askId)) this.#dispatcher.remove(known);
    }
    for (const known of this.#state.heldSlots(entry)) {
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
    this.#recordActivity(entry);
    const mismatches = this.#state.compareCounts(entry, message);
    const resync = mismatches >= MISMATCHES_BEFORE_RESYNC;
    this.#replies.replyToHeartbeat(entry, { resync });
  }

  /** Takes the runners that the directory has now; slots at others are lost. */
  runnersChanged(): void {
    const runners = this.#dependencies.directory.runners(this.#service);
    for (const held of this.#pool.setRunners(runners)) {
      this.#slots.runnerLost(held);
    }
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
    const report = this.#dependencies.reports.get(runner);
    if (report === undefined) return;
    this.#feedback.recordReport(runner, report, this.#now);
    this.#drain();
  }

  /** An entry has left or died: its asks go, and its slots after a while. */
  entryGone(entry: string): void {
    for (const waiting of this.#state.waitingAsks(entry)) {
      this.#dispatcher.remove(waiting);
    }
    this.#drain();
  }

  /** To be called several times a second. */
  tick(): void {
    const now = this.#detectPause();
    for (const entry of this.#state.entries) {
      const idleMs = this.#state.idleMs(entry, now);
      if (idleMs > ENTRY_TIMEOUT_MS) this.#dropEntry(entry);
      else if (idleMs > ENTRY_IDLE_MS) this.entryGone(entry);
    }
    for (const waiting of this.#state.waitingAsks()) {
      if (waiting.deadlineAt <= now) this.#dispatcher.expire(waiting);
    }
    this.#drain();
  }

  get #now(): number {
    return this.#dependencies.clock.monotonic();
  }

  #recordActivity(entry: string): number {
    const now = this.#detectPause();
    this.#lastActivityAt = now;
    this.#state.recordActivity(entry, now);
    return now;
  }

  /**
   * The present moment, after a check that this process was not paused. A
   * broker that wakes from a pause believes in asks that its entries have long
   * taken elsewhere; granting them would fill runners with work that nobody
   * sends. All is forgotten; the entries that still hold to it present anew.
   */
  #detectPause(): number {
    const now = this.#now;
    const gapMs = this.#pauseDetector.check();
    if (gapMs === 0) return now;
    const { waitingCount: waiting, inFlight } = this.#state;
    const service = this.#service;
    this.#dependencies.log.event("broker_woke", {
      service,
      gapMs,
      waiting,
      inFlight,
    });
    for (const entry of this.#state.entries) {
      this.#dropEntry(entry);
      this.#replies.replyToHeartbeat(entry, { resync: true });
    }
    return now;
  }

  #admit(waiting: WaitingAsk, now: number): void {
    const { ask, entry } = waiting;
    if (ask.remainingMs <= 0) {
      return this.#replies.refuse(entry, ask, { code: "deadline_passed" });
    }
    const row = this.#slots.rowOf(ask);
    const refusal = this.#admission.earlyRefusal(waiting, { now, row });
    if (refusal !== undefined) return this.#replies.refuse(entry, ask, refusal);
    const { shed } = this.#queue.offer(waiting);
    this.#state.addWaiting(waiting);
    for (const victim of shed) {
      this.#state.removeWaiting(victim);
      this.#replies.shed(victim, {
        tier: this.#queue.tierOf(victim.ask.class),
        waiting: this.#queue.length,
      });
    }
  }

  #drain(): void {
    const now = this.#now;
    if (now >= this.#grantsFrom) this.#dispatcher.drain(now);
  }

  /** Takes in a slot that another broker granted. */
  #adopt(entry: string, slot: HeldSlot, now: number): void {
    const waiting = this.#state.findWaiting(slot.askId);
    if (waiting !== undefined) this.#dispatcher.remove(waiting);
    const cost = this.#admission.costOf(slot);
    this.#slots.adopt({ ...slot, entry, cost, grantedAt: now, epoch: 0 });
  }

  #dropEntry(entry: string): void {
    for (const waiting of this.#state.waitingAsks(entry)) {
      this.#dispatcher.remove(waiting);
    }
    for (const held of this.#state.heldSlots(entry)) this.#slots.abandon(held);
    this.#state.removeEntry(entry);
  }
}
