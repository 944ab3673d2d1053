/**
 * Selects the daemons that watch the store, and the duration of their watches.
 *
 * @module
 */
import { ranksBefore } from "./contact.ts";
import type { Contact } from "./contact.ts";

/**
 * Wait of a watch in ms, for each watcher in the fleet. Daemons send each other
 * their versions, so that one response of the store suffices for all. As the waits
 * of watchers end at different times, one of them detects a change that a dead
 * connection hides within about this time.
 */
const WAIT_PER_WATCHER_MS = 1_000;
/** Minimum wait of a watch in ms, which a daemon without peers uses. */
const MIN_WAIT_MS = 1_500;
const MAX_WAIT_MS = 10_000;
/** Minimum fraction of a wait, so that waits that start together end apart. */
const MIN_WAIT_FRACTION = 0.7;
/**
 * Daemons of the fleet that watch the store: the same number in each failure
 * domain, and at least one. They notify the others. Each further watcher costs one
 * more call for each change. A watcher that notifies no other daemon still
 * lengthens the waits of the other watchers by a second.
 */
const WATCHERS = 6;

/** A daemon that may be a watcher. */
export type WatchCandidate = Pick<
  Contact,
  "name" | "failureDomain" | "linkMbps"
>;

/**
 * Returns whether a daemon watches the store for its failure domain, as the first
 * ones by rank do. Daemons that know the same first ones agree without
 * communication; where their views differ, there is one watcher more or less.
 *
 * @param fleet known daemons; those that rank first suffice.
 */
export function isWatcher(
  daemon: WatchCandidate,
  fleet: readonly WatchCandidate[],
): boolean {
  const domains = new Set(fleet.map(({ failureDomain }) => failureDomain));
  const perDomain = Math.max(1, Math.floor(WATCHERS / domains.size));
  const before = fleet.filter((other) =>
    other.failureDomain === daemon.failureDomain && ranksBefore(other, daemon)
  );
  return before.length < perDomain;
}

/**
 * Returns the wait of the next watch, in ms.
 *
 * @param random a random number in [0, 1).
 */
export function watchWaitMs(
  fleet: readonly WatchCandidate[],
  random: number,
): number {
  const watchers = fleet.filter((daemon) => isWatcher(daemon, fleet)).length;
  const wait = Math.min(
    MAX_WAIT_MS,
    Math.max(MIN_WAIT_MS, WAIT_PER_WATCHER_MS * watchers),
  );
  const fraction = MIN_WAIT_FRACTION + (1 - MIN_WAIT_FRACTION) * random;
  return Math.round(wait * fraction);
}
