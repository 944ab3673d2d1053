/**
 * Places of refused requests, which they have again when their callers return.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** Maximum number of places that are remembered. */
const MAX_PLACES = 2_000;
/**
 * Maximum number of unused places of identical requests. More callers that send
 * the same request at once are queued as new when they return.
 */
const MAX_IDENTICAL = 8;
/**
 * Milliseconds by which a caller may return before the time it was told. Ages in
 * messages lack the time on the way, up to three hops on busy daemons, and a
 * Retry-After is rounded to 10 ms.
 */
const EARLY_TOLERANCE_MS = 50;
/**
 * Milliseconds after its time in which a caller is still expected. Callers open a
 * new connection; one that has not come by then has given up.
 */
const EXPECTED_MS = 500;
/** Interval in ms at which expired places are deleted. */
const SWEEP_MS = 500;
/** Interval in ms between two log lines about invalid places. */
const LOG_INTERVAL_MS = 10_000;
/** Longest plausible age or remaining time in ms. */
const MAX_TIME_MS = 600_000;
/** Maximum length of a fingerprint or a service name. */
const MAX_TEXT_LENGTH = 200;
/** Maximum rank. */
const MAX_RANK = 100;
/** Exclusive maximum of the numbers of places and uses. */
export const NUMBER_RANGE = 65_536;

/** Identifies the place of one refused request. */
export interface PlaceId {
  /** The request's fingerprint; see fingerprint.ts. */
  readonly fingerprint: string;
  /** Random number that distinguishes the places of identical requests. */
  readonly number: number;
}

/** The place of a refused request. Times are in monotonic ms. */
export interface ReturnPlace extends PlaceId {
  readonly service: string;
  readonly rank: number;
  /** When the request first arrived. */
  readonly arrivedAt: number;
  /** When the caller was told to return. */
  readonly returnAt: number;
  /**
   * Until when the request goes before those that arrived later. It is promised a
   * start if that is after its return; otherwise it goes behind all that can still
   * start on time.
   */
  readonly startBy: number;
  /** When the caller's time ends, and the place is forgotten. */
  readonly expiresAt: number;
}

/** The use of a place by a request that returned. */
export interface PlaceUse extends PlaceId {
  /**
   * Random number of the use. If a place is used at two daemons at the same time,
   * the lower one has it.
   */
  readonly claim: number;
  /** When the place is forgotten, in monotonic ms. */
  readonly expiresAt: number;
}

/** Changes of places. */
export interface PlaceUpdates {
  readonly places: readonly ReturnPlace[];
  readonly uses: readonly PlaceUse[];
}

/** An update without changes. */
export const NO_PLACES: PlaceUpdates = { places: [], uses: [] };

/** A place that a returned request has. */
export interface TakenPlace {
  readonly place: ReturnPlace;
  /** Whether a request at another daemon has used the place, too, and has it. */
  readonly lost: boolean;
}

/** The result of looking for the place of a request that arrived. */
export type Return =
  | { readonly kind: "returned"; readonly taken: TakenPlace }
  /** The fingerprint has no unused place whose time has come. */
  | { readonly kind: "new" };

/** Numbers of places with a promised start. */
export interface PromiseCounts {
  /** Those that have not returned and still may. */
  readonly expected: number;
  /** Those that were given since a time, returned or not. */
  readonly given: number;
}

interface Entry extends PlaceId {
  place: ReturnPlace | undefined;
  /** The lowest claim of a use; undefined while unused. */
  claim: number | undefined;
  /** The request of this daemon that has the place. */
  taken: { lost: boolean; readonly claim: number } | undefined;
  /** Whether this daemon refused the request. */
  readonly own: boolean;
  /** When this daemon learned of the place, in monotonic ms. */
  readonly knownAt: number;
  readonly expiresAt: number;
}

/** An entry whose place is known. */
interface PlacedEntry extends Entry {
  place: ReturnPlace;
}

/**
 * The places of refused requests, by fingerprint, from this and from other
 * daemons. A place is used once: by the first request with its fingerprint that
 * arrives at the time that its caller was told, or later. Identical requests
 * cannot be told apart, so each refusal of one of them is one place, whoever of
 * their callers takes it. Daemons exchange places and uses and merge them in any
 * order.
 */
export class ReturnPlaces {
  readonly #log: EventLog;
  readonly #random: () => number;
  /** All places, the oldest first. */
  readonly #entries = new Map<string, Entry>();
  readonly #byFingerprint = new Map<string, Set<Entry>>();
  /** Those with a promised start, which are counted at each refusal. */
  readonly #promised = new Set<PlacedEntry>();
  readonly #listeners: (() => void)[] = [];
  #pendingPlaces: ReturnPlace[] = [];
  #pendingUses: PlaceUse[] = [];
  #sweptAt = -Infinity;
  #loggedAt = -Infinity;
  #rejected = 0;

  /** @param random returns a random number in [0, 1). */
  constructor(log: EventLog, random: () => number) {
    this.#log = log;
    this.#random = random;
  }

  /** Calls `listener` when this daemon has an update for other daemons. */
  onUpdate(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Number of remembered places and uses. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Takes the place of a request that arrived: the oldest unused one whose time
   * has come.
   */
  take(fingerprint: string, now: number): Return {
    this.#sweep(now);
    let oldest: PlacedEntry | undefined;
    for (const entry of this.#unused(fingerprint)) {
      const { arrivedAt, returnAt, expiresAt } = entry.place;
      const due = returnAt - EARLY_TOLERANCE_MS <= now && now < expiresAt;
      if (!due) continue;
      if (!oldest || arrivedAt < oldest.place.arrivedAt) oldest = entry;
    }
    if (oldest === undefined) return { kind: "new" };
    const { place } = oldest;
    const claim = this.#randomNumber();
    const taken = { place, claim, lost: false };
    oldest.claim = claim;
    oldest.taken = taken;
    const { number, expiresAt } = place;
    this.#pendingUses.push({ fingerprint, number, claim, expiresAt });
    this.#updated();
    return { kind: "returned", taken };
  }

  /**
   * Keeps the place of a request that is refused, unless too many identical
   * requests have one.
   *
   * @returns whether the request has a place.
   */
  keep(place: Omit<ReturnPlace, "number">, now: number): boolean {
    this.#sweep(now);
    const identical = [...this.#unused(place.fingerprint)];
    if (identical.length >= MAX_IDENTICAL) return false;
    const kept = { ...place, number: this.#randomNumber() };
    if (!this.#addPlace(kept, { own: true, now })) return false;
    this.#pendingPlaces.push(kept);
    this.#updated();
    return true;
  }

  /**
   * Returns an unused place that an identical request was given before a time. A
   * request that arrives afterwards is taken for an early return of that one, and
   * gets no second place.
   *
   * @param propagationMs milliseconds that the place took from another daemon.
   */
  keptBefore(
    fingerprint: string,
    at: number,
    propagationMs: number,
  ): ReturnPlace | undefined {
    for (const { place, own, knownAt } of this.#unused(fingerprint)) {
      if (knownAt - (own ? 0 : propagationMs) <= at) return place;
    }
    return undefined;
  }

  /**
   * Counts the places with a promised start of a service, of a rank and of those
   * before it.
   */
  promises(
    { service, rank }: Pick<ReturnPlace, "service" | "rank">,
    times: { readonly now: number; readonly since: number },
  ): PromiseCounts {
    const { now, since } = times;
    let expected = 0;
    let given = 0;
    for (const { place, claim, knownAt } of this.#promised) {
      if (place.service !== service || place.rank > rank) continue;
      if (knownAt > since) given += 1;
      const late = now - place.returnAt >= EXPECTED_MS;
      if (claim === undefined && !late) expected += 1;
    }
    return { expected, given };
  }

  /** Number of places that other daemons reported since a time. */
  learnedSince(at: number): number {
    let count = 0;
    for (const { place, own, knownAt } of this.#entries.values()) {
      if (place !== undefined && !own && knownAt > at) count += 1;
    }
    return count;
  }

  /**
   * Applies updates from other daemons. Those with an implausible figure are left
   * out.
   *
   * @returns the updates that were new to this daemon, to be forwarded.
   */
  applyUpdates({ places, uses }: PlaceUpdates, now: number): PlaceUpdates {
    if (places.length + uses.length === 0) return NO_PLACES;
    this.#sweep(now);
    const validPlaces = places.filter((place) => isValidPlace(place, now));
    const validUses = uses.filter((use) => isValidUse(use, now));
    const rejected = places.length - validPlaces.length + uses.length -
      validUses.length;
    if (rejected > 0) this.#logRejected(rejected, now);
    return {
      places: validPlaces.filter((place) =>
        this.#addPlace(place, { own: false, now })
      ),
      uses: validUses.filter((use) => this.#addUse(use, now)),
    };
  }

  /** Returns the updates that originated here since the last call. */
  takeUpdates(): PlaceUpdates {
    const updates = { places: this.#pendingPlaces, uses: this.#pendingUses };
    this.#pendingPlaces = [];
    this.#pendingUses = [];
    return updates;
  }

  /** Returns all of them, for a daemon that has just connected. */
  snapshot(now: number): PlaceUpdates {
    this.#sweep(now);
    const entries = [...this.#entries.values()];
    return {
      places: entries.flatMap(({ place }) => place ?? []),
      uses: entries.flatMap(({ fingerprint, number, claim, expiresAt }) =>
        claim === undefined ? [] : [{ fingerprint, number, claim, expiresAt }]
      ),
    };
  }

  *#unused(fingerprint: string): Iterable<PlacedEntry> {
    for (const entry of this.#byFingerprint.get(fingerprint) ?? []) {
      if (hasPlace(entry) && entry.claim === undefined) yield entry;
    }
  }

  #addPlace(place: ReturnPlace, source: {
    readonly own: boolean;
    readonly now: number;
  }): boolean {
    const known = this.#entries.get(keyOf(place));
    if (known !== undefined) {
      if (known.place !== undefined) return false;
      known.place = copyOf(place);
      this.#addPromise(known);
      return true;
    }
    this.#add({
      fingerprint: place.fingerprint,
      number: place.number,
      place: copyOf(place),
      claim: undefined,
      taken: undefined,
      own: source.own,
      knownAt: source.now,
      expiresAt: place.expiresAt,
    });
    return true;
  }

  #addUse(use: PlaceUse, now: number): boolean {
    const { fingerprint, number, claim, expiresAt } = use;
    const known = this.#entries.get(keyOf(use));
    if (known === undefined) {
      this.#add({
        fingerprint,
        number,
        place: undefined,
        claim,
        taken: undefined,
        own: false,
        knownAt: now,
        expiresAt,
      });
      return true;
    }
    if (known.claim !== undefined && known.claim <= claim) return false;
    known.claim = claim;
    if (known.taken !== undefined) known.taken.lost = true;
    return true;
  }

  #add(entry: Entry): void {
    const { fingerprint } = entry;
    this.#entries.set(keyOf(entry), entry);
    this.#addPromise(entry);
    const identical = this.#byFingerprint.get(fingerprint) ?? new Set();
    this.#byFingerprint.set(fingerprint, identical.add(entry));
    const [oldest] = this.#entries.values();
    if (this.#entries.size > MAX_PLACES) this.#delete(oldest!);
  }

  #addPromise(entry: Entry): void {
    if (!hasPlace(entry)) return;
    const { startBy, returnAt } = entry.place;
    if (startBy > returnAt) this.#promised.add(entry);
  }

  #delete(entry: Entry): void {
    if (hasPlace(entry)) this.#promised.delete(entry);
    const { fingerprint } = entry;
    this.#entries.delete(keyOf(entry));
    const identical = this.#byFingerprint.get(fingerprint);
    identical?.delete(entry);
    if (identical?.size === 0) this.#byFingerprint.delete(fingerprint);
  }

  /** Deletes the places whose callers have no time left. */
  #sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_MS) return;
    this.#sweptAt = now;
    for (const entry of this.#entries.values()) {
      if (entry.expiresAt <= now) this.#delete(entry);
    }
  }

  #randomNumber(): number {
    return Math.floor(this.#random() * NUMBER_RANGE);
  }

  #updated(): void {
    for (const listener of this.#listeners) listener();
  }

  #logRejected(count: number, now: number): void {
    this.#rejected += count;
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    this.#log.event("return_places_rejected", { rejected: this.#rejected });
    this.#rejected = 0;
  }
}

/**
 * Copies a place field by field. Copies by spread each have a hidden class of their
 * own in Node 20, with which a count over 2,000 places took 2 ms.
 */
function copyOf(place: ReturnPlace): ReturnPlace {
  return {
    fingerprint: place.fingerprint,
    number: place.number,
    service: place.service,
    rank: place.rank,
    arrivedAt: place.arrivedAt,
    returnAt: place.returnAt,
    startBy: place.startBy,
    expiresAt: place.expiresAt,
  };
}

function hasPlace(entry: Entry): entry is PlacedEntry {
  return entry.place !== undefined;
}

function keyOf({ fingerprint, number }: PlaceId): string {
  return `${fingerprint} ${number}`;
}

function isNumber(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value < NUMBER_RANGE;
}

function isText(value: string): boolean {
  return typeof value === "string" && value.length <= MAX_TEXT_LENGTH;
}

/** Whether a time is within the plausible distance from now. */
function isNear(at: number, now: number): boolean {
  return Math.abs(at - now) <= MAX_TIME_MS;
}

function isValidPlace(place: ReturnPlace, now: number): boolean {
  const { fingerprint, number, service, rank } = place;
  const { arrivedAt, returnAt, startBy, expiresAt } = place;
  return isText(fingerprint) && isText(service) && isNumber(number) &&
    isNumber(rank) && rank <= MAX_RANK && isNear(returnAt, now) &&
    isNear(startBy, now) && isNear(expiresAt, now) && isNear(arrivedAt, now) &&
    arrivedAt <= now &&
    arrivedAt <= expiresAt;
}

function isValidUse(use: PlaceUse, now: number): boolean {
  const { fingerprint, number, claim, expiresAt } = use;
  return isText(fingerprint) && isNumber(number) && isNumber(claim) &&
    isNear(expiresAt, now);
}
