/**
 * The broker of one service. It queues the asks (requests for a slot) of all
 * entry daemons and grants them slots at the runners.
 *
 * The broker's state is soft. Entry daemons are authoritative and send snapshots
 * of their asks and slots to the daemon that they consider the broker. A broker
 * may therefore fail, or two may be active at once, without a grant being lost or
 * duplicated: an ask is identified by its id, a grant carries the ask's epoch,
 * and an entry accepts only a grant with the epoch of its latest ask.
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

/** An entry that sends nothing for this long gets no grants. */
const ENTRY_IDLE_MS = 2_000;
/** An entry that sends nothing for this long loses its asks and its slots. */
const ENTRY_TIMEOUT_MS = 6_000;
/** Consecutive mismatching heartbeats after which a snapshot is requested. */
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
      feedback,
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

  /** Milliseconds since the last message from any entry. */
  get idleMs(): number {
    return this.#now - this.#lastActivityAt;
  }

  /** Number of waiting asks. */
  get waitingCount(): number {
    return this.#state.waitingCount;
  }

  /** Number of slots granted by this broker and still in use. */
  get inFlight(): number {
    return this.#state.inFlight;
  }

  /**
   * Suspends granting for a period. A new broker has the slots only of those
   * entries that have sent a snapshot; granting immediately would grant the
   * other entries' slots a second time.
   */
  pauseGranting(ms: number): void {
    this.#grantsFrom = this.#now + ms;
  }

  /** Handles an ask. For a known ask, only the epoch is updated. */
  ask(entry: string, ask: AskMessage): void {
    const now = this.#recordActivity(entry);
    const held = this.#state.findHeld(ask.askId);
    if (held !== undefined) {
      // The link dropped the grant, so the entry repeats its ask. Granting the
      // same slot again neither loses nor duplicates one.
      const regrant = { ...held, entry, epoch: ask.epoch };
      this.#state.addHeld(regrant);
      return this.#replies.sendGrant(regrant);
    }
    const previous = this.#state.findWaiting(ask.askId);
    if (previous !== undefined) this.#dispatcher.remove(previous);
    this.#admit(this.#admission.estimate(entry, { ask, now }), now);
    this.#drain();
  }

  /** Removes an ask, or frees the slot that was granted to it in the meantime. */
  withdraw(entry: string, askId: string): void {
    this.#recordActivity(entry);
    const waiting = this.#state.findWaiting(askId);
    if (waiting?.entry === entry) this.#dispatcher.remove(waiting);
    const held = this.#state.findHeld(askId);
    if (held?.entry === entry) this.#slots.abandon(held);
    this.#drain();
  }

  /** Frees a slot and corrects its charge to the actual cost. */
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

  /** Replaces the state of an entry with the entry's own snapshot. */
  applySnapshot(entry: string, message: EntrySnapshotMessage): void {
    const now = this.#recordActivity(entry);
    this.#state.resetMismatches(entry);
    const waiting = new Set(message.waiting);
    const held = new Set(message.held.map((slot) => slot.askId));
    for (const known of this.#state.waitingAsks(entry)) {
      if (!waiting.has(known.ask.askId)) this.#dispatcher.remove(known);
    }
    for (const known of this.#state.heldSlots(entry)) {
      // If the entry still waits for this slot, the grant is in transit or was
      // lost; the entry's next ask gets the same grant again.
      if (held.has(known.askId) || waiting.has(known.askId)) continue;
      this.#slots.abandon(known);
    }
    for (const slot of message.held) this.#adopt(entry, slot, now);
    this.#drain();
  }

  /** Replies to a heartbeat; requests a snapshot if the counts keep differing. */
  heartbeat(entry: string, message: HeartbeatMessage): void {
    this.#recordActivity(entry);
    const mismatches = this.#state.compareCounts(entry, message);
    const resync = mismatches >= MISMATCHES_BEFORE_RESYNC;
    this.#replies.replyToHeartbeat(entry, { resync });
  }

  /** Applies the directory's current runners; slots at removed ones are lost. */
  runnersChanged(): void {
    const runners = this.#dependencies.directory.runners(this.#service);
    for (const held of this.#pool.setRunners(runners)) {
      this.#slots.runnerLost(held);
    }
    this.#drain();
  }

  /** Applies a new table, which also orders and limits asks that already wait. */
  tableChanged(table: Table): void {
    this.#slots.setTable(table);
    this.#queue.setTable(table);
    this.#pool.setTable(table, this.#service);
    this.#drain();
  }

  /** Applies a runner's latest load report and grants the slots that it frees. */
  reportReceived(runner: string): void {
    const report = this.#dependencies.reports.get(runner);
    if (report === undefined) return;
    this.#feedback.recordReport(runner, report, this.#now);
    this.#drain();
  }

  /**
   * Removes the asks of an entry that has left or failed. Its slots are freed
   * after `ENTRY_TIMEOUT_MS`.
   */
  entryGone(entry: string): void {
    for (const waiting of this.#state.waitingAsks(entry)) {
      this.#dispatcher.remove(waiting);
    }
    this.#drain();
  }

  /** Expires entries and asks; must be called several times a second. */
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
   * Returns the current time and resets the broker if this process was paused.
   * After a pause, entries have moved their asks to another broker; granting
   * those asks would occupy slots for requests that nobody sends. The broker
   * drops all its state and requests a snapshot from every entry.
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

  /** Registers a slot that another broker granted. */
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
