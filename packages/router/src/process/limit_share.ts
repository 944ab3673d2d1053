/**
 * One daemon's share of a runner's rate limit for all daemons together.
 *
 * @module
 */
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import type { Rate } from "./token_bucket.ts";
import type { FleetView } from "./fleet_view.ts";

/** The share of a daemon that may send nothing. */
export const NO_SHARE: Rate = { perSecond: 0, burst: 0 };

/**
 * Fraction of a limit that is allocated. The rest is a margin for daemons with
 * differing views of the fleet while one of them joins or leaves.
 */
const ALLOCATED_FRACTION = 0.9;
/**
 * Minimum requests per second that are allocated, so that the recovery of a
 * runner that stated a limit near zero is noticed.
 */
const MIN_PER_S = 0.2;
/**
 * Maximum number of daemons with a share: so many for each request per second of
 * the limit, plus a constant. Each of them may send one request at any time, so
 * more of them would send too many at once.
 */
const HOLDERS_PER_S = 2;
const EXTRA_HOLDERS = 3;
/** Burst after a pause: the requests that the limit allows in so many seconds. */
const BURST_S = 2;

/**
 * Computes a daemon's share of a limit. If the limit is large enough for all
 * daemons, all have equal shares. Otherwise rendezvous hashing selects a few
 * daemons, and all daemons with the same view of the fleet select the same
 * ones. This needs no messages, so nothing waits for them, and the share of a
 * lost daemon is unused only until the others notice the loss.
 *
 * @param key hash key; another key selects other daemons.
 *
 * @example
 * ```ts
 * const view = { own: "a", names: ["a", "b", "c"], fleetSize: 3 };
 * shareOf("r-1", 4.3, view).perSecond; // 1.29
 * ```
 */
export function shareOf(key: string, perS: number, view: FleetView): Rate {
  const { own, names, fleetSize } = view;
  const maxHolders = Math.floor(HOLDERS_PER_S * perS + EXTRA_HOLDERS);
  if (fleetSize <= maxHolders) return equalShare(perS, fleetSize);
  const holders = Math.min(names.length, maxHolders);
  const order = new Rendezvous(names).order(key);
  if (!order.slice(0, holders).includes(own)) return NO_SHARE;
  return equalShare(perS, holders);
}

function equalShare(perS: number, holders: number): Rate {
  return {
    perSecond: Math.max(MIN_PER_S, ALLOCATED_FRACTION * perS) / holders,
    burst: Math.max(1, BURST_S * perS / holders),
  };
}
