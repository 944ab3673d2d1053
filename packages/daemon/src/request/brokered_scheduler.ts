/**
 * Asks the broker of a service for a slot, wherever the broker is.
 *
 * This daemon holds the truth about its own requests: what waits and what holds
 * a slot. The broker's state is a copy that is rebuilt from here whenever the
 * broker changes, forgets or falls silent.
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

/** Beats while something waits at a broker: its silence is noticed by them. */
const HEARTBEAT_MS = 200;
/** Beats while slots are only held there: a sign of life is enough. */
const HELD_HEARTBEAT_MS = 2_000;
/** A broker that answers no beat for this long is passed over by tier 0. */
const REPLY_TIMEOUT_MS = 600;
/** Each lower tier waits this much longer, so that higher ones fall back first. */
const REPLY_TIMEOUT_STEP_MS = 200;
const MAX_REPLY_TIMEOUT_MS = 2_000;
const RETRY_MS = 1_000;

/** What the scheduler works with. */
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

/** Gets slots from brokers. */
export class BrokeredScheduler implements Scheduler {
  readonly #dependencies: BrokeredDependencies;
  readonly #finder: BrokerFinder;
  readonly #replyTracker: ReplyTracker;
  readonly #local = new LocalRequests();
  readonly #link: BrokerLink;

  constructor(parts: BrokeredDependencies) {
    this.#dependencies = parts;
    this.#finder = new BrokerFinder({
      membership: parts.membership,
      directory: parts.directory,
    });
    this.#replyTracker = new ReplyTracker(parts.clock);
    this.#link = new BrokerLink({
      ...parts,
      requests: this.#local,
      finder: this.#finder,
      replyTracker: this.#replyTracker,
    });
    parts.registry.connectLocalEntry((message) =>
      this.#receive(this.#finder.self, message)
    );
  }

  /** Serves answers and follows the view until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const { peers, membership, log } = this.#dependencies;
      peers?.handle(TO_ENTRY, (from, message) =>
        Effect.sync(() => {
          const read = parseEntryMessage(message);
          if (read !== undefined) return this.#receive(from, read);
          log.warning("scheduler_message_malformed", { from });
        }));
      const ends = [
        membership?.subscribe(() => this.#reassign()),
        peers?.subscribe((peer, state) => {
          if (state === "up") this.#resyncAll(peer);
        }),
      ];
      yield* Effect.addFinalizer(() =>
        Effect.sync(() => {
          for (const end of ends) end?.();
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
        // The caller gets its final answer at the deadline whatever happens to
        // the broker meanwhile.
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
    let beats = 0;
    return Effect.forever(Effect.gen({ self: this }, function* () {
      yield* Effect.sleep(HEARTBEAT_MS);
      this.#reassign();
      beats += 1;
      const all = beats % (HELD_HEARTBEAT_MS / HEARTBEAT_MS) === 0;
      const brokers = all
        ? this.#local.brokers()
        : this.#local.brokersWithPending();
      // A silent one is asked on, so that its return is noticed.
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

  /** Moves what is at a daemon that is no longer the one to ask. */
  #reassign(): void {
    const members = this.#dependencies.membership?.view().members ?? [];
    this.#replyTracker.retain(new Set(members.map((it) => it.member.name)));
    const left = new BrokeredServiceSet();
    const reached = new BrokeredServiceSet();
    const move = (it: PendingAsk | ActiveSlot): boolean => {
      const broker = this.#brokerFor(it.ask);
      const { service } = it.ask;
      if (broker === it.broker) return false;
      left.add({ broker: it.broker, service });
      reached.add({ broker, service });
      it.broker = broker;
      return true;
    };
    const asked = [...this.#local.pending.values()].filter(move);
    for (const it of this.#local.active.values()) move(it);
    // What is in use goes before what waits: a broker that hears of the waiting
    // first would grant them slots that are in use.
    for (const place of reached.all()) this.#link.sendSnapshot(place);
    for (const pending of asked) this.#askAgain(pending);
    for (const place of left.all()) this.#link.sendSnapshot(place);
  }

  /**
   * The daemon to ask: the broker, or the first of its successors that answers.
   * A higher tier passes a silent one over earlier, so that it is not behind
   * lower ones at the successor.
   */
  #brokerFor(ask: Ask): string {
    const [first, second] = this.#finder.rank(ask.service);
    const patience = this.#replyTimeoutMs(ask.class);
    const answers = (name: string) =>
      name === this.#finder.self ||
      !this.#replyTracker.isOverdue(name, patience);
    if (first !== undefined && answers(first)) return first;
    if (second !== undefined && answers(second)) return second;
    return this.#finder.self;
  }

  #replyTimeoutMs(className: string): number {
    const tier = this.#dependencies.table.current().classes
      .find((it) => it.name === className)?.tier ?? MAX_REPLY_TIMEOUT_MS;
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
    const using = this.#local.active.get(message.askId);
    // The same grant again: the broker did not know that it had arrived.
    if (using?.runner === message.runner && using.broker === from) return;
    const pending = this.#local.pending.get(message.askId);
    if (pending?.broker !== from || pending.epoch !== message.epoch) {
      return this.#returnSlot(from, message);
    }
    const runner = this.#dependencies.directory.find(message.runner);
    if (runner === undefined || runner.state === "leaving") {
      // The broker does not know yet that the runner leaves; it must get
      // nothing new, so the slot goes back and the ask is made again.
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

  /** Tells a broker that a slot it granted is not wanted here. */
  #returnSlot(broker: string, grant: GrantMessage): void {
    const { service, askId } = grant;
    this.#link.send(broker, { type: "withdraw", service, askId });
  }

  #release(askId: string, settlement: Settlement): void {
    const using = this.#local.active.get(askId);
    if (using === undefined) return;
    this.#local.active.delete(askId);
    const { service } = using.ask;
    this.#link.send(using.broker, {
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

  /** A link is back, and may have lost what was under way. */
  #resyncAll(broker: string): void {
    for (const service of this.#local.servicesAt(broker)) {
      this.#resync({ broker, service });
    }
  }

  /** Presents all that is at a place and asks anew for what waits there. */
  #resync(place: BrokeredService): void {
    this.#link.sendSnapshot(place);
    for (const pending of this.#local.pendingAt(place)) this.#link.ask(pending);
  }

  /** Asks again; an answer to the former ask is not taken any more. */
  #askAgain(pending: PendingAsk, excluded?: string): void {
    pending.epoch += 1;
    this.#link.ask(pending, excluded);
  }
}
