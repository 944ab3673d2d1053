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
import type { Clock } from "@umbermast/coordination";
import type { Row, Table } from "@umbermast/table";
import type { Log } from "../log.ts";
import type { RunnerDirectory } from "../runner_directory.ts";
import type { TableSource } from "../table_source.ts";
import { CostEstimator, costOf } from "./cost_estimator.ts";
import { type EntryAccount, EntryBook } from "./entry_book.ts";
import { FairQueue, type QueueBounds } from "./fair_queue.ts";
import type { LoadReports } from "./load_reports.ts";
import type {
  AskMessage,
  BeatMessage,
  EntryMessage,
  HeldSlot,
  PresentMessage,
  RefuseMessage,
  ReleaseMessage,
} from "./messages.ts";
import { RowLimits } from "./row_limits.ts";
import { RunnerLearning } from "./runner_learning.ts";
import { type Choice, RunnerPool } from "./runner_pool.ts";
import type { Held } from "./runner_state.ts";
import { ServiceRate } from "./service_rate.ts";
import type { Switches } from "./switches.ts";
import type { Waiting } from "./waiting.ts";

/** What a broker works with. */
export interface BrokerParts {
  readonly directory: RunnerDirectory;
  readonly reports: LoadReports;
  readonly table: TableSource;
  readonly clock: Clock;
  readonly log: Log;
  readonly switches: Switches;
  readonly bounds?: QueueBounds;
  /** Sends to an entry; this daemon's own entry too. */
  readonly send: (entry: string, message: EntryMessage) => void;
  /** Daemons that take part; a lone one gets its share of the slots. */
  readonly members: () => number;
}

/** A grant that was not used by then is of no use. */
export const GRANT_MS = 5_000;
/** An entry that says nothing for this long is granted nothing. */
const QUIET_MS = 2_000;
/** An entry that says nothing for this long has lost what it asked and held. */
const LOST_MS = 6_000;
/** A longer gap between two ticks means that this process was paused. */
const PAUSE_MS = 1_500;
const MISMATCHES_BEFORE_RESYNC = 2;
const FIXED_COST = 100;
/** A refusal on arrival needs a wait this many times what is left. */
const HOPELESS = 1.25;
const SHED_RETRY_MS = 1_000;
const LEAST_RETRY_MS = 100;
const MOST_RETRY_MS = 30_000;
const BYTES_OF_ASK = 300;
/** A first token takes this share of its target at a runner with room. */
const START_SHARE = 0.3;

/** The broker of one service. */
export class Broker {
  readonly #service: string;
  readonly #parts: BrokerParts;
  readonly #queue: FairQueue;
  readonly #pool: RunnerPool;
  readonly #learning: RunnerLearning;
  readonly #limits = new RowLimits();
  readonly #costs = new CostEstimator();
  readonly #rate = new ServiceRate();
  readonly #entries = new EntryBook();
  readonly #waiting = new Map<string, Waiting>();
  readonly #held = new Map<string, Held>();
  #rows: ReadonlyMap<string, Row>;
  #tickedAt: number;
  #opensAt = -Infinity;
  #heardAt: number;

  constructor(service: string, parts: BrokerParts) {
    this.#service = service;
    this.#parts = parts;
    const table = parts.table.current();
    const { switches, bounds } = parts;
    this.#queue = new FairQueue(table, {
      switches,
      ...(bounds === undefined ? {} : { bounds }),
    });
    this.#pool = new RunnerPool(service, { table, switches });
    this.#pool.setRunners(parts.directory.runners(service));
    this.#learning = new RunnerLearning(this.#pool, switches);
    this.#rows = rowsOf(table);
    this.#tickedAt = this.#now;
    this.#heardAt = this.#now;
  }

  /** Milliseconds since an entry was last heard. */
  get idleMs(): number {
    return this.#now - this.#heardAt;
  }

  /** Asks that wait here. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Slots in use through this broker. */
  get inFlight(): number {
    return this.#held.size;
  }

  /**
   * Grants nothing for a while. A broker that has just begun knows only the
   * slots of the entries that have presented theirs; granting at once would
   * give the others' slots a second time.
   */
  holdBack(ms: number): void {
    this.#opensAt = this.#now + ms;
  }

  /** Takes an ask. One that is known already changes nothing but its epoch. */
  ask(entry: string, ask: AskMessage): void {
    const now = this.#wake();
    const account = this.#heard(entry, now);
    const held = this.#held.get(ask.askId);
    if (held !== undefined) {
      // The entry asks again since it did not get the grant: the link dropped
      // it. The same slot is granted again, so none is lost and none doubled.
      this.#replace(held, { ...held, entry, epoch: ask.epoch });
      return this.#sendGrant(held, ask.epoch);
    }
    const former = this.#waiting.get(ask.askId);
    if (former !== undefined) this.#forgetWaiting(former);
    const waiting = this.#admit(entry, { ask, now });
    if (waiting === undefined) return;
    account.waiting.add(ask.askId);
    this.#drain();
  }

  /** Forgets an ask, or frees the slot that was granted to it meanwhile. */
  withdraw(entry: string, askId: string): void {
    const now = this.#wake();
    this.#heard(entry, now);
    const waiting = this.#waiting.get(askId);
    if (waiting?.entry === entry) this.#forgetWaiting(waiting);
    const held = this.#held.get(askId);
    if (held?.entry === entry) this.#abandon(held);
    this.#drain();
  }

  /** Frees a slot and settles what it cost. */
  release(entry: string, message: ReleaseMessage): void {
    const now = this.#wake();
    this.#heard(entry, now);
    const held = this.#held.get(message.askId);
    if (held === undefined) return;
    const { settlement } = message;
    this.#learning.settled(held, { settlement, now });
    this.#forgetHeld(held);
    const cost = costOf(settlement.promptTokens, settlement.outputTokens);
    this.#limits.end(held, cost - held.cost);
    this.#queue.settle(
      held,
      this.#parts.switches.costEstimate ? cost - held.cost : 0,
    );
    this.#rate.served(cost, { now, backlogged: this.#queue.length > 0 });
    if (settlement.outcome === "complete") {
      this.#costs.learn(held.workspace, {
        class: held.class,
        outputTokens: settlement.outputTokens,
      });
    }
    this.#drain();
  }

  /** Takes all that an entry has in place of what was known of it. */
  present(entry: string, message: PresentMessage): void {
    const now = this.#wake();
    const account = this.#heard(entry, now);
    account.mismatches = 0;
    const waiting = new Set(message.waiting);
    const held = new Map(message.held.map((it) => [it.askId, it]));
    for (const askId of [...account.waiting]) {
      const known = this.#waiting.get(askId);
      if (known !== undefined && !waiting.has(askId)) {
        this.#forgetWaiting(known);
      }
    }
    for (const askId of [...account.held]) {
      const known = this.#held.get(askId);
      // One that the entry still waits for is on its way to it, or was lost on
      // the way: the ask that follows gets the same grant again.
      if (known === undefined || held.has(askId) || waiting.has(askId)) {
        continue;
      }
      this.#abandon(known);
    }
    for (const slot of held.values()) this.#adopt(entry, { slot, now });
    this.#drain();
  }

  /** Answers a sign of life, and asks for a presentation when books differ. */
  beat(entry: string, message: BeatMessage): void {
    const now = this.#wake();
    const account = this.#heard(entry, now);
    const agrees = account.waiting.size === message.waiting &&
      account.held.size === message.held;
    // Messages under way make books differ for a moment; only a difference that
    // stays means that one was lost.
    account.mismatches = agrees ? 0 : account.mismatches + 1;
    this.#parts.send(entry, {
      type: "beat_reply",
      service: this.#service,
      resync: account.mismatches >= MISMATCHES_BEFORE_RESYNC,
    });
  }

  /** The list of runners has changed. */
  runnersChanged(): void {
    const lost = this.#pool.setRunners(
      this.#parts.directory.runners(this.#service),
    );
    for (const held of lost) {
      this.#limits.end(held, 0);
      this.#forgetHeld(held);
    }
    this.#drain();
  }

  /** The table has changed; what waits is ordered and limited by it at once. */
  tableChanged(table: Table): void {
    this.#rows = rowsOf(table);
    this.#queue.setTable(table);
    this.#pool.setTable(table, this.#service);
    this.#drain();
  }

  /** A runner has reported its load. */
  reported(runner: string): void {
    const report = this.#parts.reports.get(runner);
    if (report === undefined) return;
    this.#learning.reported(runner, report, this.#now);
    this.#drain();
  }

  /** An entry has left or died: its asks go, and its slots after a while. */
  entryGone(entry: string): void {
    const account = this.#entries.find(entry);
    if (account === undefined) return;
    this.#dropWaiting(account);
    this.#drain();
  }

  /** To be called several times a second. */
  tick(): void {
    const now = this.#wake();
    for (const account of this.#entries.all()) {
      if (now - account.heardAt > QUIET_MS) this.#dropWaiting(account);
      if (now - account.heardAt > LOST_MS) this.#dropEntry(account);
    }
    this.#dropExpired(now);
    if (this.#queue.length > 0) this.#drain();
  }

  #heard(entry: string, now: number): EntryAccount {
    this.#heardAt = now;
    return this.#entries.heard(entry, now);
  }

  get #now(): number {
    return this.#parts.clock.monotonic();
  }

  /**
   * The present moment, after a check that this process was not paused. A
   * broker that wakes from a pause believes in asks that its entries have long
   * taken elsewhere; granting them would fill runners with work that nobody
   * sends. All is forgotten; the entries that still hold to it present anew.
   */
  #wake(): number {
    const now = this.#now;
    const gap = now - this.#tickedAt;
    this.#tickedAt = now;
    if (gap <= PAUSE_MS) return now;
    this.#parts.log.event("broker_woke", {
      service: this.#service,
      gapMs: Math.round(gap),
      waiting: this.#waiting.size,
      held: this.#held.size,
    });
    for (const account of this.#entries.all()) {
      this.#dropEntry(account);
      this.#parts.send(account.name, {
        type: "beat_reply",
        service: this.#service,
        resync: true,
      });
    }
    return now;
  }

  #admit(
    entry: string,
    asked: { readonly ask: AskMessage; readonly now: number },
  ): Waiting | undefined {
    const { ask, now } = asked;
    if (ask.remainingMs <= 0) {
      this.#refuse(entry, { ask, code: "deadline_passed" });
      return undefined;
    }
    const waiting = this.#describe(entry, asked);
    const hopeless = this.#hopeless(waiting, now);
    if (hopeless !== undefined) {
      this.#refuse(entry, { ask, ...hopeless });
      return undefined;
    }
    const offer = this.#queue.offer(waiting);
    if (offer.accepted) this.#waiting.set(ask.askId, waiting);
    for (const shed of offer.shed) this.#shed(shed);
    return offer.accepted ? waiting : undefined;
  }

  #describe(
    entry: string,
    asked: { readonly ask: AskMessage; readonly now: number },
  ): Waiting {
    const { ask, now } = asked;
    const arrivedAt = now - ask.waitedMs;
    return {
      ask,
      entry,
      cost: this.#costOf(ask),
      bytes: BYTES_OF_ASK + ask.excluded.join().length,
      arrivedAt,
      deadlineAt: now + ask.remainingMs,
      startBy: this.#startBy(ask, arrivedAt),
    };
  }

  #costOf(
    ask: {
      readonly workspace: string;
      readonly class: string;
      readonly promptTokens: number;
      readonly maxTokens?: number;
    },
  ): number {
    if (!this.#parts.switches.costEstimate) return FIXED_COST;
    const expected = this.#costs.output(ask.workspace, ask.class);
    return costOf(
      ask.promptTokens,
      Math.min(expected, ask.maxTokens ?? Infinity),
    );
  }

  /** When the ask must start for its answer to meet the class's target. */
  #startBy(ask: AskMessage, arrivedAt: number): number {
    const target = this.#parts.table.current().classes
      .find((it) => it.name === ask.class)?.target;
    const bounds: number[] = [];
    if (target?.firstTokenMs !== undefined) {
      bounds.push(target.firstTokenMs * (1 - START_SHARE));
    }
    if (target?.wholeAnswerMs !== undefined) {
      const tokens = this.#costs.output(ask.workspace, ask.class);
      const stepMs = this.#learning.medianStepMs();
      bounds.push(target.wholeAnswerMs - tokens * stepMs);
    }
    return bounds.length === 0 ? Infinity : arrivedAt + Math.min(...bounds);
  }

  /** Why no slot will come in time, when that is known on arrival. */
  #hopeless(
    waiting: Waiting,
    now: number,
  ): Pick<RefuseMessage, "code" | "retryAfterMs"> | undefined {
    if (!this.#parts.switches.earlyRefusal) return undefined;
    const left = (waiting.deadlineAt - now) * HOPELESS;
    const limitMs = this.#limitWait(waiting);
    if (limitMs > left) {
      return { code: "limit_reached", retryAfterMs: retryAfter(limitMs) };
    }
    // A higher tier is never turned away while a lower one waits.
    const tier = this.#queue.tierOf(waiting.ask.class);
    if (this.#queue.length === 0 || this.#queue.hasBelow(tier)) {
      return undefined;
    }
    const rate = this.#rate.perSecond;
    if (rate === undefined || rate <= 0) return undefined;
    const { workspace, class: className } = waiting.ask;
    const ahead = this.#queue.costAhead(workspace, className);
    const waitMs = ahead / rate * 1_000;
    if (waitMs <= left) return undefined;
    return { code: "queue_full", retryAfterMs: retryAfter(waitMs) };
  }

  /** Milliseconds that the row's own rates make the ask wait. */
  #limitWait(waiting: Waiting): number {
    const row = this.#rowOf(waiting.ask);
    const { count, cost } = this.#queue.backlog(waiting.ask);
    return Math.max(
      count / (row?.requestsPerSecond ?? Infinity),
      cost / (row?.tokensPerSecond ?? Infinity),
    ) * 1_000;
  }

  #shed(waiting: Waiting): void {
    const { ask } = waiting;
    this.#waiting.delete(ask.askId);
    this.#entries.find(waiting.entry)?.waiting.delete(ask.askId);
    this.#parts.log.decision("ask_shed", {
      requestId: ask.requestId,
      askId: ask.askId,
      workspace: ask.workspace,
      class: ask.class,
      tier: this.#queue.tierOf(ask.class),
      waiting: this.#queue.length,
      why: "queue_full",
    });
    this.#refuse(waiting.entry, {
      ask,
      code: "queue_full",
      retryAfterMs: SHED_RETRY_MS,
    });
  }

  #refuse(
    entry: string,
    refusal: Pick<RefuseMessage, "code"> & {
      readonly ask: AskMessage;
      readonly retryAfterMs?: number;
    },
  ): void {
    const { ask, code } = refusal;
    const retryAfterMs = refusal.retryAfterMs ?? SHED_RETRY_MS;
    this.#parts.log.decision("ask_refused", {
      requestId: ask.requestId,
      askId: ask.askId,
      workspace: ask.workspace,
      class: ask.class,
      why: code,
      waiting: this.#queue.length,
      retryAfterMs,
    });
    const { askId, epoch } = ask;
    this.#parts.send(entry, {
      type: "refuse",
      askId,
      epoch,
      code,
      retryAfterMs,
    });
  }

  /** Grants what can be granted, in the queue's order. */
  #drain(): void {
    const now = this.#now;
    if (now < this.#opensAt) return;
    while (this.#queue.length > 0) {
      if (!this.#grantOne(now)) return;
    }
  }

  /** Grants or refuses one ask; false when nothing can be done now. */
  #grantOne(now: number): boolean {
    const order = this.#queue.order();
    const highest = Math.min(
      ...order.map((it) => this.#queue.tierOf(it.class)),
    );
    for (const flow of order) {
      const row = this.#rowOf(flow);
      if (!this.#limits.check(row, now).admitted) continue;
      const waiting = this.#queue.headOf(flow, now);
      if (waiting === undefined) continue;
      if (waiting.deadlineAt <= now) {
        this.#forgetWaiting(waiting);
        this.#refuse(waiting.entry, {
          ask: waiting.ask,
          code: "deadline_passed",
        });
        return true;
      }
      const choice = this.#pool.choose(waiting.ask, {
        now,
        highest: this.#isHighest(flow.class),
        share: waiting.ask.alone ? 1 / Math.max(1, this.#parts.members()) : 1,
      });
      if (choice._tag === "None") {
        this.#forgetWaiting(waiting);
        this.#refuse(waiting.entry, { ask: waiting.ask, code: "no_runner" });
        return true;
      }
      if (choice._tag === "Busy") continue;
      const owed = this.#queue.isOwed(flow.class) &&
        this.#queue.tierOf(flow.class) > highest;
      this.#queue.take(flow, waiting);
      this.#grant(waiting, { choice, now, row, owed });
      return true;
    }
    return false;
  }

  /** Whether no class of the table comes before this one. */
  #isHighest(className: string): boolean {
    const tier = this.#queue.tierOf(className);
    return this.#parts.table.current().classes.every((it) =>
      this.#queue.tierOf(it.name) >= tier
    );
  }

  #grant(
    waiting: Waiting,
    given: {
      readonly choice: Choice;
      readonly now: number;
      readonly row: Row | undefined;
      readonly owed: boolean;
    },
  ): void {
    const { ask, entry, cost } = waiting;
    const { choice, now } = given;
    const account = this.#entries.find(entry);
    this.#waiting.delete(ask.askId);
    account?.waiting.delete(ask.askId);
    account?.held.add(ask.askId);
    const held: Held = {
      askId: ask.askId,
      runner: choice.runner.name,
      workspace: ask.workspace,
      class: ask.class,
      promptTokens: ask.promptTokens,
      entry,
      cost,
      grantedAt: now,
      epoch: ask.epoch,
    };
    this.#held.set(ask.askId, held);
    this.#pool.hold(held);
    this.#limits.start(given.row, { cost, now });
    this.#parts.log.decision("slot_granted", {
      requestId: ask.requestId,
      askId: ask.askId,
      entry,
      workspace: ask.workspace,
      class: ask.class,
      runner: choice.runner.name,
      runnersUp: choice.runnersUp.join(","),
      why: choice.why,
      order: given.owed ? "minimum_share" : "tier",
      waitedMs: Math.round(now - waiting.arrivedAt),
      stillWaiting: this.#queue.length,
    });
    this.#sendGrant(held, ask.epoch);
  }

  #sendGrant(held: Held, epoch: number): void {
    this.#parts.send(held.entry, {
      type: "grant",
      askId: held.askId,
      epoch,
      runner: held.runner,
      validForMs: GRANT_MS,
    });
  }

  #adopt(
    entry: string,
    known: { readonly slot: HeldSlot; readonly now: number },
  ): void {
    const { slot, now } = known;
    if (this.#held.has(slot.askId)) return;
    const waiting = this.#waiting.get(slot.askId);
    if (waiting !== undefined) this.#forgetWaiting(waiting);
    const cost = this.#costOf(slot);
    const held: Held = { ...slot, entry, cost, grantedAt: now, epoch: 0 };
    this.#held.set(slot.askId, held);
    this.#entries.find(entry)?.held.add(slot.askId);
    this.#pool.hold(held);
    this.#limits.adopt(this.#rowOf(slot), now);
  }

  #replace(former: Held, held: Held): void {
    this.#held.set(held.askId, held);
    this.#entries.find(former.entry)?.held.delete(held.askId);
    this.#entries.find(held.entry)?.held.add(held.askId);
  }

  /** Frees a slot without learning anything from it. */
  #abandon(held: Held): void {
    this.#pool.abandon(held);
    this.#limits.end(held, 0);
    this.#forgetHeld(held);
  }

  #forgetHeld(held: Held): void {
    this.#held.delete(held.askId);
    this.#entries.find(held.entry)?.held.delete(held.askId);
  }

  #forgetWaiting(waiting: Waiting): void {
    this.#queue.remove(waiting);
    this.#waiting.delete(waiting.ask.askId);
    this.#entries.find(waiting.entry)?.waiting.delete(waiting.ask.askId);
  }

  #dropWaiting(account: EntryAccount): void {
    for (const askId of [...account.waiting]) {
      const waiting = this.#waiting.get(askId);
      if (waiting !== undefined) this.#forgetWaiting(waiting);
    }
  }

  #dropEntry(account: EntryAccount): void {
    this.#dropWaiting(account);
    for (const askId of [...account.held]) {
      const held = this.#held.get(askId);
      if (held !== undefined) this.#abandon(held);
    }
    this.#entries.remove(account.name);
  }

  #dropExpired(now: number): void {
    for (const waiting of [...this.#waiting.values()]) {
      if (waiting.deadlineAt > now) continue;
      this.#forgetWaiting(waiting);
      this.#refuse(waiting.entry, {
        ask: waiting.ask,
        code: "deadline_passed",
      });
    }
  }

  #rowOf(
    key: { readonly workspace: string; readonly class: string },
  ): Row | undefined {
    return this.#rows.get(rowKey(key));
  }
}

function rowsOf(table: Table): ReadonlyMap<string, Row> {
  return new Map(table.rows.map((row) => [rowKey(row), row]));
}

function rowKey(
  key: { readonly workspace: string; readonly class: string },
): string {
  return `${key.class}\n${key.workspace}`;
}

function retryAfter(waitMs: number): number {
  return Math.round(Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, waitMs)));
}
