/**
 * Which daemons watch the store, and for how long at a time.
 *
 * @module
 */
import { ranksBefore } from "./contact.ts";
import type { Contact } from "./contact.ts";

/**
 * Milliseconds of a watch for each daemon that watches. With the versions that
 * daemons tell each other, one answer suffices for all: their waits end at
 * different times, so a change that connections hide is found within about one
 * such span by one of them.
 */
const WAIT_PER_WATCHER_MS = 1_000;
/** Shortest wait of a watch, in ms: what a daemon without peers uses. */
const SHORTEST_WAIT_MS = 1_500;
const LONGEST_WAIT_MS = 10_000;
/** Least part of a wait, so that waits that began together come apart. */
const LEAST_WAIT_SHARE = 0.7;
/**
 * Daemons of the fleet that watch the store, the same number in each failure
 * domain and one at least; the others hear of it. Each one more is a call more for each
 * change. One that watches for nobody else costs the others a second.
 */
const WATCHERS = 6;

/** A daemon, as others see it. */
export type WatchCandidate = Pick<
  Contact,
  "name" | "failureDomain" | "linkMbps"
>;

/**
 * Whether a daemon is among those that watch for its failure domain: the first
 * ones by rank. All daemons that see the same first ones agree without asking;
 * where they do not, one more or less watches.
 *
 * @param fleet daemons that are known: those that rank first suffice.
 */
export function isWatcher(
  one: WatchCandidate,
  fleet: readonly WatchCandidate[],
): boolean {
  const domains = new Set(fleet.map(({ failureDomain }) => failureDomain));
  const perDomain = Math.max(1, Math.floor(WATCHERS / domains.size));
  const before = fleet.filter((each) =>
    each.failureDomain === one.failureDomain && ranksBefore(each, one)
  );
  return before.length < perDomain;
}

/**
 * Milliseconds for which the next watch waits.
 *
 * @param point in [0, 1), from a random number generator.
 */
export function watchWaitMs(
  fleet: readonly WatchCandidate[],
  point: number,
): number {
  const watchers = fleet.filter((each) => isWatcher(each, fleet)).length;
  const wait = Math.min(
    LONGEST_WAIT_MS,
    Math.max(SHORTEST_WAIT_MS, WAIT_PER_WATCHER_MS * watchers),
  );
  const share = LEAST_WAIT_SHARE + (1 - LEAST_WAIT_SHARE) * point;
  return Math.round(wait * share);
}
