/**
 * One daemon's part of what a runner takes from all daemons together.
 *
 * @module
 */
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import type { Rate } from "./token_bucket.ts";
import type { FleetView } from "./fleet_view.ts";

/** No part at all. */
export const NO_SHARE: Rate = { perSecond: 0, burst: 0 };

/**
 * Part of a limit that is given out. The rest is for daemons that see others
 * than the rest do, while one of them comes or goes.
 */
const GIVEN_SHARE = 0.9;
/**
 * Least requests a second that are given out, so that a runner which named next
 * to nothing is heard again when it has recovered.
 */
const LEAST_PER_S = 0.2;
/**
 * Daemons that have a part, for each request a second, and some more: each may
 * have one request ready, so that more of them would send too much at once.
 */
const HOLDERS_PER_S = 2;
const MORE_HOLDERS = 3;
/** Seconds of a limit that may be sent at once after a pause. */
const BURST_S = 2;

/**
 * Divides a limit. Where it is worth a request for each daemon, all have the same
 * part. Otherwise some have one, the same ones wherever it is worked out, as far
 * as daemons know the same others. Nothing is asked or told for it, so nothing is
 * waited for, and a lost daemon takes its part with it only until the others see
 * that it is gone.
 *
 * @param key names the division: another one has other daemons.
 *
 * @example
 * ```ts
 * const sharers = { own: "a", names: ["a", "b", "c"], fleetSize: 3 };
 * partOf("r-1", 4.3, sharers).perSecond; // 1.29
 * ```
 */
export function shareOf(key: string, perS: number, sharers: FleetView): Rate {
  const { own, names, fleetSize } = sharers;
  const most = Math.floor(HOLDERS_PER_S * perS + MORE_HOLDERS);
  if (fleetSize <= most) return equalPart(perS, fleetSize);
  const holders = Math.min(names.length, most);
  const order = new Rendezvous(names).order(key);
  if (!order.slice(0, holders).includes(own)) return NO_SHARE;
  return equalPart(perS, holders);
}

function equalPart(perS: number, holders: number): Rate {
  return {
    perSecond: Math.max(LEAST_PER_S, GIVEN_SHARE * perS) / holders,
    burst: Math.max(1, BURST_S * perS / holders),
  };
}
