/**
 * Changes that wait to be sent to neighbours.
 *
 * @module
 */
import type { ContactUpdates } from "../process/contact_book.ts";
import type { CompleteResponse, CrashedRun } from "../process/crash_entry.ts";
import type { CrashUpdate } from "../process/crash_record.ts";
import type { DrainingUpdate } from "../process/draining_runners.ts";
import type { LimitUpdate } from "../process/runner_limits.ts";
import type { LeaseObservation } from "../process/leader_lease.ts";
import { mergeEnds } from "../process/usage_meter.ts";
import type { UsageCount, UsageEnd } from "../process/usage_meter.ts";
import type { OriginRecord, OriginUpdates } from "../process/stream_origins.ts";
import type { PrefixUpdate } from "../process/prefix_index.ts";
import type {
  PlaceUpdates,
  PlaceUse,
  ReturnPlace,
} from "../process/return_places.ts";

/**
 * Maximum number of prompt updates in one message; beyond it the oldest are
 * dropped. An engine
 * may then prefill, once, a prompt that another one has cached.
 */
const MAX_PARTS = 2_000;
/**
 * Maximum number of crashed requests in one message: about 1 KB, together with as many complete
 * responses that clear some. When hundreds of runners crash at once, the others
 * wait for the next message.
 */
const MAX_CRASHES = 25;
/**
 * Maximum number of crashed requests that wait to be sent; beyond it the oldest are
 * dropped. A
 * request that crashes its runners arrives again, and is reported then.
 */
const MAX_CRASHES_WAITING = 1_000;

/** Maximum number of rate limits in one message, about 3 KB; others wait. */
const MAX_LIMITS = 100;
/** Maximum number of draining runners in one message, about 3 KB; others wait. */
const MAX_DRAINING = 100;

/**
 * Maximum number of places and their uses in one message, about 1.3 KB; others
 * wait for the next message.
 */
export const MAX_PLACES = 50;
/**
 * Maximum number of places, and of uses, that wait to be sent; beyond it the
 * oldest are dropped. Their callers return before they would be sent.
 */
const MAX_PLACES_WAITING = 1_000;

/** Maximum number of origins, and of questions, in one message, about 1.4 KB. */
const MAX_ORIGINS = 50;
/**
 * Maximum number of them that wait to be sent; beyond it the oldest are dropped. An
 * origin is then asked for.
 */
const MAX_ORIGINS_WAITING = 1_000;

/** The origin of a change. */
export interface Sourced {
  /** Name of the neighbour that reported it; undefined for this daemon. */
  readonly from: string | undefined;
}

/** Requests at crashed runners, with the neighbours that reported them. */
export interface SourcedCrashes {
  readonly crashed: readonly (CrashedRun & Sourced)[];
  readonly responses: readonly (CompleteResponse & Sourced)[];
}

/** Changes of places, with the neighbours that reported them. */
export interface SourcedPlaces {
  readonly places: readonly (ReturnPlace & Sourced)[];
  readonly uses: readonly (PlaceUse & Sourced)[];
}

/** A question for the origin of a stream, with the neighbour that asked it. */
export interface SourcedQuestion extends Sourced {
  readonly stream: string;
}

/** Origins of streams, with the neighbours that reported them. */
export interface SourcedOrigins {
  readonly origins: readonly (OriginRecord & Sourced)[];
  readonly wanted: readonly SourcedQuestion[];
}

/** The changes to send in the next messages. */
export interface OutgoingUpdate {
  /** Ids of runners whose loads have changed. */
  readonly runners: readonly string[];
  readonly parts: readonly (PrefixUpdate & Sourced)[];
  readonly contacts: ContactUpdates;
  readonly crashes: SourcedCrashes;
  readonly limits: readonly (LimitUpdate & Sourced)[];
  readonly draining: readonly (DrainingUpdate & Sourced)[];
  readonly places: SourcedPlaces;
  readonly streams: SourcedOrigins;
  readonly usage: readonly UsageCount[];
  readonly lease: LeaseObservation | undefined;
  readonly ends: readonly UsageEnd[];
}

/** Collects changes until they are sent to one group of neighbours. */
export class Outbox {
  readonly #urgent = new Set<string>();
  readonly #normal = new Set<string>();
  #parts: (PrefixUpdate & Sourced)[] = [];
  #contacts: ContactUpdates[] = [];
  readonly #crashed: (CrashedRun & Sourced)[] = [];
  readonly #responses: (CompleteResponse & Sourced)[] = [];
  /** The last limit stated by each runner. */
  readonly #limits = new Map<string, LimitUpdate & Sourced>();
  readonly #draining: (DrainingUpdate & Sourced)[] = [];
  readonly #places: (ReturnPlace & Sourced)[] = [];
  readonly #uses: (PlaceUse & Sourced)[] = [];
  readonly #origins: (OriginRecord & Sourced)[] = [];
  readonly #wanted: SourcedQuestion[] = [];
  /** The last counts of each workspace, by incarnation and window. */
  readonly #usage = new Map<string, UsageCount>();
  /** The last end of each incarnation. */
  readonly #ends = new Map<string, UsageEnd>();
  #lease: LeaseObservation | undefined;

  /**
   * Adds runners with changed loads; urgent ones, where requests wait, go
   * first.
   */
  addRunners(runners: Iterable<string>, urgent: boolean): void {
    for (const runner of runners) {
      if (urgent) {
        this.#urgent.add(runner);
        this.#normal.delete(runner);
      } else if (!this.#urgent.has(runner)) {
        this.#normal.add(runner);
      }
    }
  }

  addParts(parts: readonly PrefixUpdate[], from?: string): void {
    for (const update of parts) this.#parts.push({ ...update, from });
    if (this.#parts.length > MAX_PARTS) {
      this.#parts = this.#parts.slice(-MAX_PARTS);
    }
  }

  addContacts(update: ContactUpdates): void {
    this.#contacts.push(update);
  }

  addCrashes(
    { crashed, responses }: CrashUpdate,
    from?: string,
  ): void {
    enqueue(this.#crashed, crashed, { from, max: MAX_CRASHES_WAITING });
    enqueue(this.#responses, responses, { from, max: MAX_CRASHES_WAITING });
  }

  addLimits(limits: readonly LimitUpdate[], from?: string): void {
    for (const limit of limits) {
      this.#limits.set(limit.runner, { ...limit, from });
    }
  }

  addDraining(draining: readonly DrainingUpdate[], from?: string): void {
    for (const update of draining) this.#draining.push({ ...update, from });
  }

  addPlaces({ places, uses }: PlaceUpdates, from?: string): void {
    enqueue(this.#places, places, { from, max: MAX_PLACES_WAITING });
    enqueue(this.#uses, uses, { from, max: MAX_PLACES_WAITING });
  }

  addOrigins({ origins, wanted }: OriginUpdates, from?: string): void {
    const max = MAX_ORIGINS_WAITING;
    enqueue(this.#origins, origins, { from, max });
    const questions = wanted.map((stream) => ({ stream }));
    enqueue(this.#wanted, questions, { from, max });
  }

  /**
   * Adds usage counts. They do not trigger a message but go with the next one.
   */
  addUsage(usage: readonly UsageCount[]): void {
    for (const update of usage) {
      const key = `${update.incarnation} ${update.window}`;
      const counts = new Map(this.#usage.get(key)?.counts);
      for (const [workspace, requests] of update.counts) {
        // Counts never decrease; a late snapshot may hold an older one.
        counts.set(workspace, Math.max(requests, counts.get(workspace) ?? 0));
      }
      this.#usage.set(key, { ...update, counts: [...counts] });
    }
  }

  /**
   * Adds the ends of usage windows. Like counts they do not trigger a message by
   * themselves.
   */
  addEnds(ends: readonly UsageEnd[]): void {
    for (const end of ends) {
      const known = this.#ends.get(end.incarnation);
      this.#ends.set(end.incarnation, known ? mergeEnds(known, end) : end);
    }
  }

  /** Whether there are ends, for which the leader waits. */
  get hasEnds(): boolean {
    return this.#ends.size > 0;
  }

  /**
   * Adds the state of the leader's lease. A renewal goes with the next message;
   * a release triggers one.
   */
  addLease(lease: LeaseObservation): void {
    this.#lease = lease;
  }

  /** Whether no change needs a message of its own. */
  get empty(): boolean {
    return this.#urgent.size === 0 && this.#normal.size === 0 &&
      this.#parts.length === 0 && this.#contacts.length === 0 &&
      this.#crashed.length === 0 && this.#responses.length === 0 &&
      this.#limits.size === 0 && this.#draining.length === 0 &&
      this.#places.length === 0 && this.#uses.length === 0 &&
      this.#origins.length === 0 && this.#wanted.length === 0 &&
      this.#lease?.holderId !== "";
  }

  /** Whether requests wait for a runner whose load is to be sent. */
  get urgent(): boolean {
    return this.#urgent.size > 0;
  }

  /**
   * Removes and returns the changes to send now. Loads beyond `maxRunners` stay
   * for the next call; the oldest are taken first.
   */
  take(maxRunners: number): OutgoingUpdate {
    const urgent = takeFrom(this.#urgent, maxRunners);
    const normal = takeFrom(this.#normal, maxRunners - urgent.length);
    const uses = this.#uses.splice(0, MAX_PLACES);
    const update = {
      runners: [...urgent, ...normal],
      parts: this.#parts,
      contacts: {
        contacts: this.#contacts.flatMap(({ contacts }) => contacts),
        gone: this.#contacts.flatMap(({ gone }) => gone),
      },
      crashes: {
        crashed: this.#crashed.splice(0, MAX_CRASHES),
        responses: this.#responses.splice(0, MAX_CRASHES),
      },
      limits: [...this.#limits.values()].slice(0, MAX_LIMITS),
      draining: this.#draining.splice(0, MAX_DRAINING),
      places: {
        places: this.#places.splice(0, MAX_PLACES - uses.length),
        uses,
      },
      streams: {
        origins: this.#origins.splice(0, MAX_ORIGINS),
        wanted: this.#wanted.splice(0, MAX_ORIGINS),
      },
      usage: [...this.#usage.values()],
      lease: this.#lease,
      ends: [...this.#ends.values()],
    };
    this.#usage.clear();
    this.#ends.clear();
    this.#lease = undefined;
    for (const { runner } of update.limits) this.#limits.delete(runner);
    this.#parts = [];
    this.#contacts = [];
    return update;
  }
}

/** Appends items to a queue and drops the oldest beyond its capacity. */
function enqueue<Item>(
  waiting: (Item & Sourced)[],
  items: readonly Item[],
  { from, max }: Sourced & { readonly max: number },
): void {
  for (const item of items) waiting.push({ ...item, from });
  const excess = waiting.length - max;
  if (excess > 0) waiting.splice(0, excess);
}

/** Removes up to `max` items from a set, in insertion order, and returns them. */
function takeFrom(set: Set<string>, max: number): readonly string[] {
  const taken = [];
  for (const item of set) {
    if (taken.length >= max) break;
    taken.push(item);
    set.delete(item);
  }
  return taken;
}
