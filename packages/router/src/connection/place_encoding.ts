/**
 * The places of refused requests in messages between daemons.
 *
 * @module
 */
import { groupBy } from "../process/group.ts";
import { NO_PLACES } from "../process/return_places.ts";
import type {
  PlaceId,
  PlaceUpdates,
  PlaceUse,
  ReturnPlace,
} from "../process/return_places.ts";
import { ageOf } from "./crash_ages.ts";
import { rowsOf } from "./rows.ts";

/** The place of a refused request, with times relative to the message. */
export interface PlaceAge extends PlaceId {
  readonly service: string;
  readonly rank: number;
  readonly agoMs: number;
  readonly returnInMs: number;
  readonly startInMs: number;
  readonly leftMs: number;
}

/** The use of a place, with its time relative to the message. */
export interface PlaceUseAge extends PlaceId {
  readonly claim: number;
  readonly leftMs: number;
}

/** Changes of places, with times relative to the message. */
export interface PlaceAges {
  readonly places: readonly PlaceAge[];
  readonly uses: readonly PlaceUseAge[];
}

/** Places of one queue as a flat array: six fields for each place. */
type PackedQueue = readonly [
  service: string,
  rank: number,
  places: readonly (string | number)[],
];

/** Places and uses as arrays without field names: four fields for each use. */
export type PackedPlaces = readonly [
  queues: readonly PackedQueue[],
  uses: readonly (string | number)[],
];

const PLACE_FIELDS = 6;
const USE_FIELDS = 4;

/** Converts times to relative ones, for a message that is sent now. */
export function toPlaceAges(
  { places, uses }: PlaceUpdates,
  now: number,
): PlaceAges {
  return {
    places: places.map((place) => ({
      fingerprint: place.fingerprint,
      number: place.number,
      service: place.service,
      rank: place.rank,
      agoMs: ageOf(place.arrivedAt, now),
      returnInMs: ageOf(now, place.returnAt),
      startInMs: ageOf(now, place.startBy),
      leftMs: ageOf(now, place.expiresAt),
    })),
    uses: uses.map(({ fingerprint, number, claim, expiresAt }) => ({
      fingerprint,
      number,
      claim,
      leftMs: ageOf(now, expiresAt),
    })),
  };
}

/** Converts relative times to monotonic ones, for a message that arrived now. */
export function fromPlaceAges(
  { places, uses }: PlaceAges,
  now: number,
): PlaceUpdates {
  if (places.length + uses.length === 0) return NO_PLACES;
  return {
    places: places.map((
      { agoMs, returnInMs, startInMs, leftMs, ...place },
    ) => ({
      ...place,
      arrivedAt: now - agoMs,
      returnAt: now + returnInMs,
      startBy: now + startInMs,
      expiresAt: now + leftMs,
    } satisfies ReturnPlace)),
    uses: uses.map(({ leftMs, ...use }) => ({
      ...use,
      expiresAt: now + leftMs,
    } satisfies PlaceUse)),
  };
}

/** Encodes places as arrays, some 30 bytes for each; undefined without any. */
export function packPlaces(
  { places, uses }: PlaceAges,
): PackedPlaces | undefined {
  if (places.length + uses.length === 0) return undefined;
  const queues = groupBy(
    places,
    ({ service, rank }) => JSON.stringify([service, rank]),
  );
  return [
    [...queues.values()].map((queue) => [
      queue[0]!.service,
      queue[0]!.rank,
      queue.flatMap((place) => [
        place.fingerprint,
        place.number,
        place.agoMs,
        place.returnInMs,
        place.startInMs,
        place.leftMs,
      ]),
    ]),
    uses.flatMap(({ fingerprint, number, claim, leftMs }) => [
      fingerprint,
      number,
      claim,
      leftMs,
    ]),
  ];
}

/**
 * Decodes places that {@linkcode packPlaces} encoded. A figure that is no number
 * or negative becomes `NaN`, so that only its place is left out when the update
 * is applied.
 */
export function unpackPlaces(packed: PackedPlaces | undefined): PlaceAges {
  if (packed === undefined) return NO_PLACE_AGES;
  const [queues, uses] = packed;
  return {
    places: queues.flatMap(([service, rank, places]) =>
      rowsOf(places, PLACE_FIELDS).map((
        [fingerprint, number, agoMs, returnInMs, startInMs, leftMs],
      ) => ({
        service: String(service),
        rank: figure(rank),
        fingerprint: String(fingerprint),
        number: figure(number),
        agoMs: figure(agoMs),
        returnInMs: figure(returnInMs),
        startInMs: figure(startInMs),
        leftMs: figure(leftMs),
      }))
    ),
    uses: rowsOf(uses, USE_FIELDS).map((
      [fingerprint, number, claim, leftMs],
    ) => ({
      fingerprint: String(fingerprint),
      number: figure(number),
      claim: figure(claim),
      leftMs: figure(leftMs),
    })),
  };
}

/** An update without changes of places. */
export const NO_PLACE_AGES: PlaceAges = { places: [], uses: [] };

function figure(value: unknown): number {
  return typeof value === "number" && value >= 0 ? value : NaN;
}
