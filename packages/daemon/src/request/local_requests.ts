/**
 * This daemon's own requests at brokers: waiting asks and slots in use.
 *
 * @module
 */
import type * as Effect from "effect/Effect";
import type { Ask, Grant, Refusal } from "./ask.ts";

/** An ask that waits for a grant or a refusal. */
export interface PendingAsk {
  readonly ask: Ask;
  /** Time of the ask, in monotonic milliseconds. */
  readonly askedAt: number;
  readonly resume: (end: Effect.Effect<Grant, Refusal>) => void;
  readonly timer: NodeJS.Timeout;
  /** Incremented when the ask is repeated; replies to earlier epochs are ignored. */
  epoch: number;
  broker: string;
}

/** A slot that an attempt of this daemon uses. */
export interface ActiveSlot {
  readonly ask: Ask;
  readonly runner: string;
  broker: string;
}

/** A service and the broker that is asked for its slots. */
export interface BrokeredService {
  readonly broker: string;
  readonly service: string;
}

/** All waiting asks and slots in use of this daemon, by ask id. */
export class LocalRequests {
  readonly pending = new Map<string, PendingAsk>();
  readonly active = new Map<string, ActiveSlot>();

  /** Returns the asks that wait at a brokered service. */
  pendingAt(target: BrokeredService): readonly PendingAsk[] {
    return [...this.pending.values()].filter((entry) => isAt(entry, target));
  }

  /** Returns the slots in use of a brokered service. */
  activeAt(target: BrokeredService): readonly ActiveSlot[] {
    return [...this.active.values()].filter((entry) => isAt(entry, target));
  }

  /** Returns the services with a waiting ask or a slot in use at a broker. */
  servicesAt(broker: string): ReadonlySet<string> {
    const services = new Set<string>();
    for (const entry of this.#entries()) {
      if (entry.broker === broker) services.add(entry.ask.service);
    }
    return services;
  }

  /** Returns the brokers with a waiting ask. */
  brokersWithPending(): ReadonlySet<string> {
    return new Set([...this.pending.values()].map((entry) => entry.broker));
  }

  /** Returns the brokers with a waiting ask or a slot in use. */
  brokers(): ReadonlySet<string> {
    return new Set([...this.#entries()].map((entry) => entry.broker));
  }

  *#entries(): Generator<PendingAsk | ActiveSlot> {
    yield* this.pending.values();
    yield* this.active.values();
  }
}

function isAt(
  entry: PendingAsk | ActiveSlot,
  target: BrokeredService,
): boolean {
  return entry.broker === target.broker && entry.ask.service === target.service;
}

/** A set of brokered services. */
export class BrokeredServiceSet {
  readonly #services = new Map<string, Set<string>>();

  add(target: BrokeredService): void {
    const known = this.#services.get(target.broker) ?? new Set();
    this.#services.set(target.broker, known.add(target.service));
  }

  *all(): Generator<BrokeredService> {
    for (const [broker, services] of this.#services) {
      for (const service of services) yield { broker, service };
    }
  }
}
