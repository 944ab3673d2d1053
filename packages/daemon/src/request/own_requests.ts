/**
 * This daemon's own requests at the brokers: what waits and what holds a slot.
 *
 * @module
 */
import type * as Effect from "effect/Effect";
import type { Ask, Grant, Refusal } from "./ask.ts";

/** An ask that waits for its answer. */
export interface Pending {
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
export interface Using {
  readonly ask: Ask;
  readonly runner: string;
  broker: string;
}

/** A service at a broker. */
export interface Place {
  readonly broker: string;
  readonly service: string;
}

/** All that waits and all that is in use. */
export class OwnRequests {
  readonly pending = new Map<string, Pending>();
  readonly using = new Map<string, Using>();

  /** Asks that wait at a place. */
  pendingAt(place: Place): readonly Pending[] {
    return [...this.pending.values()].filter((it) => isAt(it, place));
  }

  /** Slots in use that a place granted. */
  usingAt(place: Place): readonly Using[] {
    return [...this.using.values()].filter((it) => isAt(it, place));
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
  awaitedBrokers(): ReadonlySet<string> {
    return new Set([...this.pending.values()].map((it) => it.broker));
  }

  /** Brokers where something waits or is in use. */
  brokers(): ReadonlySet<string> {
    return new Set([...this.#all()].map((it) => it.broker));
  }

  *#all(): Generator<Pending | Using> {
    yield* this.pending.values();
    yield* this.using.values();
  }
}

function isAt(it: Pending | Using, place: Place): boolean {
  return it.broker === place.broker && it.ask.service === place.service;
}

/** Places, each once. */
export class Places {
  readonly #services = new Map<string, Set<string>>();

  add(place: Place): void {
    const known = this.#services.get(place.broker) ?? new Set();
    this.#services.set(place.broker, known.add(place.service));
  }

  *all(): Generator<Place> {
    for (const [broker, services] of this.#services) {
      for (const service of services) yield { broker, service };
    }
  }
}
