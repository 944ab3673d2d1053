/**
 * What this daemon tells the brokers.
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

/** What a link works with. */
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

/** Sends to brokers at other daemons and at this one. */
export class BrokerLink {
  readonly #dependencies: BrokerLinkDependencies;

  constructor(parts: BrokerLinkDependencies) {
    this.#dependencies = parts;
  }

  /** Gives a sign of life, with counts that the broker sets against its books. */
  heartbeat(broker: string): void {
    const services = this.#dependencies.requests.servicesAt(broker);
    const someService = this.#dependencies.directory.services()[0];
    const asked = services.size === 0 && someService !== undefined
      ? [someService]
      : services;
    for (const service of asked) {
      const place = { broker, service };
      const waiting = this.#dependencies.requests.pendingAt(place).length;
      const held = this.#dependencies.requests.activeAt(place).length;
      this.#sendExpectingReply(broker, {
        type: "beat",
        service,
        waiting,
        held,
      });
    }
  }

  /** Tells a place all that is there; what is not listed is gone. */
  sendSnapshot(place: BrokeredService): void {
    const held = this.#dependencies.requests.activeAt(place).map((
      { ask, runner },
    ) => ({
      askId: ask.askId,
      runner,
      workspace: ask.workspace,
      class: ask.class,
      promptTokens: ask.promptTokens,
    }));
    const waiting = this.#dependencies.requests.pendingAt(place).map((it) =>
      it.ask.askId
    );
    const { service } = place;
    this.send(place.broker, { type: "present", service, waiting, held });
  }

  /** Asks for a slot, also again. */
  ask(pending: PendingAsk, excluded?: string): void {
    const { ask, epoch, broker } = pending;
    const { deadline, ...told } = ask;
    const remainingMs = Math.max(0, deadline - this.#dependencies.clock.now());
    const rank = this.#dependencies.finder.rank(ask.service);
    const isBroker = rank.slice(0, 2).includes(broker);
    this.#sendExpectingReply(broker, {
      type: "ask",
      ...told,
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
   * Milliseconds since the request arrived. A retry asks anew, so the time of
   * its ask would send it to the end of the queue; what is left of the class's
   * timeout tells how long its caller has waited.
   */
  #waitedMs(pending: PendingAsk, remainingMs: number): number {
    const { ask, askedAt } = pending;
    const timeoutMs = this.#dependencies.table.current().classes
      .find((it) => it.name === ask.class)?.timeoutMs ?? 0;
    const sinceAsk = this.#dependencies.clock.monotonic() - askedAt;
    return Math.max(0, sinceAsk, timeoutMs - remainingMs);
  }

  /** Sends what the broker has to answer. */
  #sendExpectingReply(broker: string, message: BrokerMessage): void {
    if (broker !== this.#dependencies.finder.self) {
      this.#dependencies.replyTracker.requestSent(broker);
    }
    this.send(broker, message);
  }

  /** Sends to a broker, be it this daemon. */
  send(broker: string, message: BrokerMessage): void {
    if (broker === this.#dependencies.finder.self) {
      return this.#dependencies.registry.receive(broker, message);
    }
    this.#dependencies.peers?.send(broker, TO_BROKER, message);
  }
}
