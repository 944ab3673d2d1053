/**
 * Taking what a neighbour tells of runners.
 *
 * @module
 */
import type { CrashRecord } from "../process/crash_record.ts";
import type { PrefixIndex } from "../process/prefix_index.ts";
import type { RunnerLimits } from "../process/runner_limits.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { FleetTime } from "../process/fleet_time.ts";
import type { LeaderLease } from "../process/leader_lease.ts";
import type { UsageMeter } from "../process/usage_meter.ts";
import { newsOf } from "./crash_ages.ts";
import type { ReceivedUpdate } from "./update_broadcaster.ts";
import type { RunnerLoadEntry, StateUpdate } from "./peer_message.ts";

/** What daemons tell each other of runners. */
export interface SharedRunnerState {
  readonly loads: RunnerLoads;
  readonly prefixes: PrefixIndex;
  readonly crashes: CrashRecord;
  readonly limits: RunnerLimits;
}

/** What daemons tell each other so that one of them can act for all. */
export interface SharedLeaderState {
  readonly time: FleetTime;
  /** Absent where nobody asks for usage. */
  readonly usage: UsageMeter | undefined;
  /** Absent where nothing is done by one daemon for all. */
  readonly lease: LeaderLease | undefined;
}

/**
 * Takes what a neighbour tells.
 *
 * @returns what of it others may lack.
 */
export function applyUpdate(
  known: SharedRunnerState & SharedLeaderState,
  neighbour: string,
  state: StateUpdate,
): ReceivedUpdate {
  const { whole, loads, parts, crashes, limits } = state;
  const now = performance.now();
  const { timeMs, lease } = state;
  if (timeMs !== undefined) known.time.toldBy(neighbour, timeMs);
  if (lease !== undefined) {
    known.lease?.observe({ ...lease, at: now - lease.agoMs });
  }
  const changed = new Set(whole ? known.loads.removeNeighbour(neighbour) : []);
  for (const share of loads) {
    changed.add(share.runner);
    takeLoad(known.loads, neighbour, { share, now });
  }
  for (const news of parts) known.prefixes.applyUpdate(news, now);
  return {
    changed,
    parts,
    crashes: known.crashes.applyUpdate(newsOf(crashes, now), now),
    limits: known.limits.applyUpdates(
      limits.map(({ agoMs, ...news }) => ({ ...news, at: now - agoMs })),
      now,
    ),
    usage: known.usage?.take(state.usage) ?? [],
    urgent: loads.some(({ waiting }) => waiting.length > 0),
  };
}

function takeLoad(loads: RunnerLoads, neighbour: string, told: {
  readonly share: RunnerLoadEntry;
  readonly now: number;
}): void {
  const { share, now } = told;
  const waiting = share.waiting.map(
    ({ rank, ageMs, leftMs, requests, unreadTokens }) => ({
      rank,
      requests,
      unreadTokens,
      arrivedAt: now - ageMs,
      startBy: now + leftMs,
    }),
  );
  loads.of(share.runner).setNeighbourLoad(neighbour, share, { now, waiting });
}
