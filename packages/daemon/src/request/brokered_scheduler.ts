/**
 * Acquires slots from the broker of a service, local or remote.
 *
 * This daemon is authoritative for its own requests: which of them wait and
 * which hold a slot. The broker's state is a copy that is rebuilt from here
 * whenever the broker changes, loses its state or stops replying.
 *
 * @module
 */
import type { Clock, Membership, Peers } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { Log } from "../process/log.ts";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import { BrokerFinder } from "../process/scheduling/broker_finder.ts";
import type { BrokerRegistry } from "../process/scheduling/broker_registry.ts";
import {
  type EntryMessage,
  type GrantMessage,
  parseEntryMessage,
  type RefuseMessage,
  TO_ENTRY,
} from "../process/scheduling/messages.ts";
import { ReplyTracker } from "../process/scheduling/reply_tracker.ts";
import type { TableSource } from "../process/table_source.ts";
import { BrokerLink } from "./broker_link.ts";
import type { Ask, Grant, Refusal, Settlement } from "./ask.ts";
import {
  type ActiveSlot,
  type BrokeredService,
  BrokeredServiceSet,
  LocalRequests,
  type PendingAsk,
} from "./local_requests.ts";
import { deadlinePassed, refusalOf } from "./refusals.ts";
import type { Scheduler } from "./scheduler.ts";

/** Heartbeat interval while an ask waits at a broker, to detect its failure. */
const HEARTBEAT_MS = 200;
/** Heartbeat interval while slots are only held, which needs only liveness. */
const HELD_HEARTBEAT_MS = 2_000;
/** Time without a reply after which tier 0 skips a broker. */
const REPLY_TIMEOUT_MS = 600;
/** Additional time per lower tier, so that higher tiers fall back first. */
const REPLY_TIMEOUT_STEP_MS = 200;
const MAX_REPLY_TIMEOUT_MS = 2_000;
const RETRY_MS = 1_000;

/** Collaborators of the scheduler. */
export interface BrokeredDependencies {
  readonly registry: BrokerRegistry;
  readonly directory: RunnerDirectory;
  readonly table: TableSource;
  readonly clock: Clock;
  readonly log: Log;
  /** Absent in a daemon without peers. */
  readonly peers?: Peers;
  readonly membership?: Membership;
}

/** Acquires slots from brokers. */
export class BrokeredScheduler implements Scheduler {
  readonly #dependencies: BrokeredDependencies;
  readonly #finder: BrokerFinder;
  readonly #replyTracker: ReplyTracker;
  readonly #local = new LocalRequests();
  readonly #link: BrokerLink;

  constructor(dependencies: BrokeredDependencies) {
    this.#dependencies = dependencies;
    this.#finder = new BrokerFinder({
      membership: dependencies.membership,
      directory: dependencies.directory,
    });
    this.#replyTracker = new ReplyTracker(dependencies.clock);
    this.#link = new BrokerLink({
      ...dependencies,
      requests: this.#local,
      finder: this.#finder,
      replyTracker: this.#replyTracker,
    });
    dependencies.registry.connectLocalEntry((message) =>
      this.#receive(this.#finder.self, message)
    );
  }

  /** Handles replies and membership changes until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const { peers, membership, log } = this.#dependencies;
      peers?.handle(TO_ENTRY, (from, message) =>
        Effect.sync(() => {
          const parsed = parseEntryMessage(message);
          if (parsed !== undefined) return this.#receive(from, parsed);
          log.warning("scheduler_message_malformed", { from });
        }));
      const subscriptions = [
        membership?.subscribe(() => this.#reassign()),
        peers?.subscribe((peer, state) => {
          if (state === "up") this.#resyncAll(peer);
        }),
      ];
      yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
          for (const unsubscribe of subscriptions) unsubscribe?.();
        })
      );
      yield* Effect.forkScoped(this.#sendHeartbeats());
    });
  }

  acquire(ask: Ask): Effect.Effect<Grant, Refusal> {
    return Effect.callback<Grant, Refusal>((resume) => {
      const left = ask.deadline - this.#dependencies.clock.now();
      if (left <= 0) return resume(Effect.fail(deadlinePassed(ask, RETRY_MS)));
      const pending: PendingAsk = {
        ask,
        askedAt: this.#now,
        resume,
        // The caller gets its final response at the deadline, even if the broker
        // fails meanwhile.
        timer: setTimeout(() => this.#expire(pending), left),
        epoch: 1,
        broker: this.#brokerFor(ask),
      };
      this.#local.pending.set(ask.askId, pending);
      this.#link.ask(pending);
      return Effect.sync(() => this.#withdraw(pending));
    });
  }

  get #now(): number {
    return this.#dependencies.clock.monotonic();
  }

  #sendHeartbeats(): Effect.Effect<never> {
    let count = 0;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(HEARTBEAT_MS);
      this.#reassign();
      count += 1;
      const all = count % (HELD_HEARTBEAT_MS / HEARTBEAT_MS) === 0;
      const brokers = all
        ? this.#local.brokers()
        : this.#local.brokersWithPending();
      // Brokers whose replies are overdue still get heartbeats, to detect their
      // recovery.
      for (
        const broker of new Set([
          ...brokers,
          ...this.#replyTracker.awaitingReply,
        ])
      ) {
        this.#link.heartbeat(broker);
      }
    }));
  }

  /** Moves asks and slots whose broker has changed to the new broker. */
  #reassign(): void {
    const members = this.#dependencies.membership?.view().members ?? [];
    this.#replyTracker.retain(
      new Set(members.map((entry) => entry.member.name)),
    );
    const previous = new BrokeredServiceSet();
    const current = new BrokeredServiceSet();
    const move = (entry: PendingAsk | ActiveSlot): boolean => {
      const broker = this.#brokerFor(entry.ask);
      const { service } = entry.ask;
      if (broker === entry.broker) return false;
      previous.add({ broker: entry.broker, service });
      current.add({ broker, service });
      entry.broker = broker;
      return true;
    };
    const moved = [...this.#local.pending.values()].filter(move);
    for (const entry of this.#local.active.values()) move(entry);
    // Slots in use are sent before asks: a broker that received the asks first
    // would grant them slots that are in use.
    for (const target of current.all()) this.#link.sendSnapshot(target);
    for (const pending of moved) this.#askAgain(pending);
    for (const target of previous.all()) this.#link.sendSnapshot(target);
  }

  /**
   * Returns the daemon to ask: the broker, or its successor if the broker does
   * not reply, or this daemon if neither does. A higher tier skips an
   * unresponsive broker earlier, so that its asks are not queued behind those of
   * lower tiers at the successor.
   */
  #brokerFor(ask: Ask): string {
    const [first, second] = this.#finder.rank(ask.service);
    const timeoutMs = this.#replyTimeoutMs(ask.class);
    const isResponsive = (name: string) =>
      name === this.#finder.self ||
      !this.#replyTracker.isOverdue(name, timeoutMs);
    if (first !== undefined && isResponsive(first)) return first;
    if (second !== undefined && isResponsive(second)) return second;
    return this.#finder.self;
  }

  #replyTimeoutMs(className: string): number {
    const tier = this.#dependencies.table.current().classes
      .find((entry) => entry.name === className)?.tier ?? MAX_REPLY_TIMEOUT_MS;
    return Math.min(
      MAX_REPLY_TIMEOUT_MS,
      REPLY_TIMEOUT_MS + tier * REPLY_TIMEOUT_STEP_MS,
    );
  }

  #receive(from: string, message: EntryMessage): void {
    this.#replyTracker.replyReceived(from);
    switch (message.type) {
      case "grant":
        return this.#handleGrant(from, message);
      case "refuse":
        return this.#handleRefusal(from, message);
      case "beat_reply":
        if (!message.resync) return;
        return this.#resync({ broker: from, service: message.service });
    }
  }

  #handleGrant(from: string, message: GrantMessage): void {
    const slot = this.#local.active.get(message.askId);
    // A repeated grant: the broker did not know that the first one had arrived.
    if (slot?.runner === message.runner && slot.broker === from) return;
    const pending = this.#local.pending.get(message.askId);
    if (pending?.broker !== from || pending.epoch !== message.epoch) {
      return this.#returnSlot(from, message);
    }
    const runner = this.#dependencies.directory.find(message.runner);
    if (runner === undefined || runner.state === "leaving") {
      // The broker does not know yet that the runner is leaving. The runner must
      // get no new requests, so the slot is returned and the ask repeated.
      this.#returnSlot(from, message);
      return this.#askAgain(pending, message.runner);
    }
    this.#removePending(pending);
    const { ask } = pending;
    const { askId } = ask;
    this.#local.active.set(askId, {
      ask,
      runner: runner.name,
      broker: from,
    });
    pending.resume(Effect.succeed({
      askId,
      runner,
      expiresAt: this.#dependencies.clock.now() + message.validForMs,
      release: (settlement) => this.#release(askId, settlement),
    }));
  }

  #handleRefusal(from: string, message: RefuseMessage): void {
    const pending = this.#local.pending.get(message.askId);
    if (pending?.broker !== from || pending.epoch !== message.epoch) return;
    this.#removePending(pending);
    pending.resume(
      Effect.fail(refusalOf(pending.ask, message.code, message)),
    );
  }

  /** Returns an unused slot to the broker that granted it. */
  #returnSlot(broker: string, grant: GrantMessage): void {
    const { service, askId } = grant;
    this.#link.send(broker, { type: "withdraw", service, askId });
  }

  #release(askId: string, settlement: Settlement): void {
    const slot = this.#local.active.get(askId);
    if (slot === undefined) return;
    this.#local.active.delete(askId);
    const { service } = slot.ask;
    this.#link.send(slot.broker, {
      type: "release",
      service,
      askId,
      settlement,
    });
  }

  #expire(pending: PendingAsk): void {
    this.#withdraw(pending);
    pending.resume(Effect.fail(deadlinePassed(pending.ask, RETRY_MS)));
  }

  #withdraw(pending: PendingAsk): void {
    const { askId, service } = pending.ask;
    if (this.#local.pending.get(askId) !== pending) return;
    this.#removePending(pending);
    this.#link.send(pending.broker, { type: "withdraw", service, askId });
  }

  #removePending(pending: PendingAsk): void {
    clearTimeout(pending.timer);
    this.#local.pending.delete(pending.ask.askId);
  }

  /** Resends everything to a reconnected broker, since messages may be lost. */
  #resyncAll(broker: string): void {
    for (const service of this.#local.servicesAt(broker)) {
      this.#resync({ broker, service });
    }
  }

  /** Sends a snapshot to a brokered service and repeats the asks that wait. */
  #resync(target: BrokeredService): void {
    this.#link.sendSnapshot(target);
    for (const entry of this.#local.pendingAt(target)) this.#link.ask(entry);
  }

  /** Repeats an ask in a new epoch; replies to the earlier ask are ignored. */
  #askAgain(pending: PendingAsk, excluded?: string): void {
    pending.epoch += 1;
    this.#link.ask(pending, excluded);
  }
}
