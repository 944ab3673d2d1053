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
import type { OwnRequests, Pending, Place } from "./own_requests.ts";

/** What a link works with. */
export interface BrokerLinkParts {
  readonly own: OwnRequests;
  readonly finder: BrokerFinder;
  readonly contacts: ReplyTracker;
  readonly host: BrokerRegistry;
  readonly directory: RunnerDirectory;
  readonly table: TableSource;
  readonly clock: Clock;
  /** Absent in a daemon without peers. */
  readonly peers?: Peers;
}

/** Sends to brokers at other daemons and at this one. */
export class BrokerLink {
  readonly #parts: BrokerLinkParts;

  constructor(parts: BrokerLinkParts) {
    this.#parts = parts;
  }

  /** Gives a sign of life, with counts that the broker sets against its books. */
  beat(broker: string): void {
    const services = this.#parts.own.servicesAt(broker);
    const someService = this.#parts.directory.services()[0];
    const asked = services.size === 0 && someService !== undefined
      ? [someService]
      : services;
    for (const service of asked) {
      const place = { broker, service };
      const waiting = this.#parts.own.pendingAt(place).length;
      const held = this.#parts.own.usingAt(place).length;
      this.#sendAwaiting(broker, { type: "beat", service, waiting, held });
    }
  }

  /** Tells a place all that is there; what is not listed is gone. */
  present(place: Place): void {
    const held = this.#parts.own.usingAt(place).map(({ ask, runner }) => ({
      askId: ask.askId,
      runner,
      workspace: ask.workspace,
      class: ask.class,
      promptTokens: ask.promptTokens,
    }));
    const waiting = this.#parts.own.pendingAt(place).map((it) => it.ask.askId);
    const { service } = place;
    this.send(place.broker, { type: "present", service, waiting, held });
  }

  /** Asks for a slot, also again. */
  ask(pending: Pending, excluded?: string): void {
    const { ask, epoch, broker } = pending;
    const { deadline, ...told } = ask;
    const remainingMs = Math.max(0, deadline - this.#parts.clock.now());
    const rank = this.#parts.finder.rank(ask.service);
    const isBroker = rank.slice(0, 2).includes(broker);
    this.#sendAwaiting(broker, {
      type: "ask",
      ...told,
      epoch,
      remainingMs,
      waitedMs: this.#waitedMs(pending, remainingMs),
      excluded: excluded === undefined
        ? ask.excluded
        : [...ask.excluded, excluded],
      alone: broker === this.#parts.finder.self && !isBroker,
    });
  }

  /**
   * Milliseconds since the request arrived. A retry asks anew, so the time of
   * its ask would send it to the end of the queue; what is left of the class's
   * timeout tells how long its caller has waited.
   */
  #waitedMs(pending: Pending, remainingMs: number): number {
    const { ask, askedAt } = pending;
    const timeoutMs = this.#parts.table.current().classes
      .find((it) => it.name === ask.class)?.timeoutMs ?? 0;
    const sinceAsk = this.#parts.clock.monotonic() - askedAt;
    return Math.max(0, sinceAsk, timeoutMs - remainingMs);
  }

  /** Sends what the broker has to answer. */
  #sendAwaiting(broker: string, message: BrokerMessage): void {
    if (broker !== this.#parts.finder.self) {
      this.#parts.contacts.requestSent(broker);
    }
    this.send(broker, message);
  }

  /** Sends to a broker, be it this daemon. */
  send(broker: string, message: BrokerMessage): void {
    if (broker === this.#parts.finder.self) {
      return this.#parts.host.receive(broker, message);
    }
    this.#parts.peers?.send(broker, TO_BROKER, message);
  }
}
