/**
 * This daemon's own requests at the brokers: what waits and what holds a slot.
 *
 * @module
 */
import type * as Effect from "effect/Effect";
import type { Ask, Grant, Refusal } from "./ask.ts";

/** An ask that waits for its answer. */
export interface PendingAsk {
  readonly ask: Ask;
  /** Monotonic milliseconds. */
  readonly askedAt: number;
  readonly resume: (end: Effect.Effect<Grant, Refusal>) => void;
  readonly timer: NodeJS.Timeout;
  /** Grows when the ask is made anew; answers to earlier ones are refused. */
  epoch: number;
  broker: string;
}

/** A slot that an attempt of this daemon uses. */
export interface ActiveSlot {
  readonly ask: Ask;
  readonly runner: string;
  broker: string;
}

/** A service at a broker. */
export interface BrokeredService {
  readonly broker: string;
  readonly service: string;
}

/** All that waits and all that is in use. */
export class LocalRequests {
  readonly pending = new Map<string, PendingAsk>();
  readonly active = new Map<string, ActiveSlot>();

  /** Asks that wait at a place. */
  pendingAt(place: BrokeredService): readonly PendingAsk[] {
    return [...this.pending.values()].filter((it) => isAt(it, place));
  }

  /** Slots in use that a place granted. */
  activeAt(place: BrokeredService): readonly ActiveSlot[] {
    return [...this.active.values()].filter((it) => isAt(it, place));
  }

  /** Services of which something is at a broker. */
  servicesAt(broker: string): ReadonlySet<string> {
    const services = new Set<string>();
    for (const it of this.#all()) {
      if (it.broker === broker) services.add(it.ask.service);
    }
    return services;
  }

  /** Brokers where something waits. */
  brokersWithPending(): ReadonlySet<string> {
    return new Set([...this.pending.values()].map((it) => it.broker));
  }

  /** Brokers where something waits or is in use. */
  brokers(): ReadonlySet<string> {
    return new Set([...this.#all()].map((it) => it.broker));
  }

  *#all(): Generator<PendingAsk | ActiveSlot> {
    yield* this.pending.values();
    yield* this.active.values();
  }
}

function isAt(it: PendingAsk | ActiveSlot, place: BrokeredService): boolean {
  return it.broker === place.broker && it.ask.service === place.service;
}

/** Places, each once. */
export class BrokeredServiceSet {
  readonly #services = new Map<string, Set<string>>();

  add(place: BrokeredService): void {
    const known = this.#services.get(place.broker) ?? new Set();
    this.#services.set(place.broker, known.add(place.service));
  }

  *all(): Generator<BrokeredService> {
    for (const [broker, services] of this.#services) {
      for (const service of services) yield { broker, service };
    }
  }
}
