/**
 * Sends this daemon's asks, heartbeats and snapshots to brokers.
 *
 * @module
 */
import type { Clock, Peers } from "@umbermast/coordination";
import type { RunnerDirectory } from "../process/runner_directory.ts";
import type { BrokerFinder } from "../process/scheduling/broker_finder.ts";
import type { BrokerRegistry } from "../process/scheduling/broker_registry.ts";
import type { ReplyTracker } from "../process/scheduling/reply_tracker.ts";
import {
  type BrokerMessage,
  TO_BROKER,
} from "../process/scheduling/messages.ts";
import type { TableSource } from "../process/table_source.ts";
import type {
  BrokeredService,
  LocalRequests,
  PendingAsk,
} from "./local_requests.ts";

/** Collaborators of the link. */
export interface BrokerLinkDependencies {
  readonly requests: LocalRequests;
  readonly finder: BrokerFinder;
  readonly replyTracker: ReplyTracker;
  readonly registry: BrokerRegistry;
  readonly directory: RunnerDirectory;
  readonly table: TableSource;
  readonly clock: Clock;
  /** Absent in a daemon without peers. */
  readonly peers?: Peers;
}

/** Sends messages to brokers at other daemons and at this one. */
export class BrokerLink {
  readonly #dependencies: BrokerLinkDependencies;

  constructor(dependencies: BrokerLinkDependencies) {
    this.#dependencies = dependencies;
  }

  /** Sends heartbeats with counts that the broker compares with its state. */
  heartbeat(broker: string): void {
    const services = this.#dependencies.requests.servicesAt(broker);
    const someService = this.#dependencies.directory.services()[0];
    const probed = services.size === 0 && someService !== undefined
      ? [someService]
      : services;
    for (const service of probed) {
      const target = { broker, service };
      const waiting = this.#dependencies.requests.pendingAt(target).length;
      const held = this.#dependencies.requests.activeAt(target).length;
      this.#sendExpectingReply(broker, {
        type: "beat",
        service,
        waiting,
        held,
      });
    }
  }

  /** Sends a full snapshot; the broker drops asks and slots that it omits. */
  sendSnapshot(target: BrokeredService): void {
    const held = this.#dependencies.requests.activeAt(target).map((
      { ask, runner },
    ) => ({
      askId: ask.askId,
      runner,
      workspace: ask.workspace,
      class: ask.class,
      promptTokens: ask.promptTokens,
    }));
    const waiting = this.#dependencies.requests.pendingAt(target).map((entry) =>
      entry.ask.askId
    );
    const { service } = target;
    this.send(target.broker, { type: "present", service, waiting, held });
  }

  /** Asks for a slot, or repeats an ask. */
  ask(pending: PendingAsk, excluded?: string): void {
    const { ask, epoch, broker } = pending;
    const { deadline, ...fields } = ask;
    const remainingMs = Math.max(0, deadline - this.#dependencies.clock.now());
    const rank = this.#dependencies.finder.rank(ask.service);
    const isBroker = rank.slice(0, 2).includes(broker);
    this.#sendExpectingReply(broker, {
      type: "ask",
      ...fields,
      epoch,
      remainingMs,
      waitedMs: this.#waitedMs(pending, remainingMs),
      excluded: excluded === undefined
        ? ask.excluded
        : [...ask.excluded, excluded],
      alone: broker === this.#dependencies.finder.self && !isBroker,
    });
  }

  /**
   * Returns the milliseconds since the request arrived. A retry makes a new ask,
   * whose age would put it at the end of the queue, so the waiting time is
   * derived from the remaining part of the class's timeout.
   */
  #waitedMs(pending: PendingAsk, remainingMs: number): number {
    const { ask, askedAt } = pending;
    const timeoutMs = this.#dependencies.table.current().classes
      .find((entry) => entry.name === ask.class)?.timeoutMs ?? 0;
    const sinceAsk = this.#dependencies.clock.monotonic() - askedAt;
    return Math.max(0, sinceAsk, timeoutMs - remainingMs);
  }

  /** Sends a message that the broker must reply to. */
  #sendExpectingReply(broker: string, message: BrokerMessage): void {
    if (broker !== this.#dependencies.finder.self) {
      this.#dependencies.replyTracker.requestSent(broker);
    }
    this.send(broker, message);
  }

  /** Sends a message to a broker, which may be local. */
  send(broker: string, message: BrokerMessage): void {
    if (broker === this.#dependencies.finder.self) {
      return this.#dependencies.registry.receive(broker, message);
    }
    this.#dependencies.peers?.send(broker, TO_BROKER, message);
  }
}
