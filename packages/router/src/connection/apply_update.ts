/**
 * Applies the updates that neighbours send to the state that daemons share.
 *
 * @module
 */
import type { CrashRecord } from "../process/crash_record.ts";
import type { DrainingRunners } from "../process/draining_runners.ts";
import type { PrefixIndex } from "../process/prefix_index.ts";
import type { ReturnPlaces } from "../process/return_places.ts";
import type { StreamOrigins } from "../process/stream_origins.ts";
import type { RunnerLimits } from "../process/runner_limits.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { RunnerPaces } from "../process/runner_paces.ts";
import type { FleetTime } from "../process/fleet_time.ts";
import type { LeaderLease } from "../process/leader_lease.ts";
import type { UsageMeter } from "../process/usage_meter.ts";
import type { WorkspaceShares } from "../process/workspace_shares.ts";
import { fromAges } from "./crash_ages.ts";
import { fromPlaceAges } from "./place_encoding.ts";
import type { ReceivedUpdate } from "./update_broadcaster.ts";
import type { RunnerLoadEntry, StateUpdate } from "./peer_message.ts";

/** State of runners that daemons exchange. */
export interface SharedRunnerState {
  readonly loads: RunnerLoads;
  readonly prefixes: PrefixIndex;
  readonly crashes: CrashRecord;
  readonly limits: RunnerLimits;
  readonly draining: DrainingRunners;
  readonly paces: RunnerPaces;
  readonly places: ReturnPlaces;
  readonly origins: StreamOrigins;
  readonly shares: WorkspaceShares;
}

/** State that daemons exchange for the leader. */
export interface SharedLeaderState {
  readonly time: FleetTime;
  /** Absent where usage is not reported. */
  readonly usage: UsageMeter | undefined;
  /** Absent where there is no leader. */
  readonly lease: LeaderLease | undefined;
}

/**
 * Applies an update from a neighbour.
 *
 * @returns the changes that other neighbours may not have received yet.
 */
export function applyUpdate(
  shared: SharedRunnerState & SharedLeaderState,
  neighbour: string,
  update: StateUpdate,
): ReceivedUpdate {
  const { whole, loads, parts, crashes, limits } = update;
  const now = performance.now();
  const { timeMs, lease } = update;
  if (timeMs !== undefined) shared.time.recordNeighbourTime(neighbour, timeMs);
  if (lease !== undefined) {
    shared.lease?.observe({ ...lease, at: now - lease.agoMs });
  }
  const returned = whole
    ? update.ends.filter((end) => shared.usage?.lacks(end))
    : [];
  const changedRunners = new Set(
    whole ? shared.loads.removeNeighbour(neighbour) : [],
  );
  for (const load of loads) {
    changedRunners.add(load.runner);
    applyLoad(shared, neighbour, { load, now });
  }
  for (const runner of update.unreadableLoads ?? []) {
    // The last load known would count forever if the next ones are invalid, too.
    if (!shared.loads.of(runner).removeNeighbour(neighbour)) continue;
    changedRunners.add(runner);
  }
  for (const prefix of parts) shared.prefixes.applyUpdate(prefix, now);
  return {
    changedRunners,
    parts,
    crashes: shared.crashes.applyUpdate(fromAges(crashes, now), now),
    limits: shared.limits.applyUpdates(
      limits.map(({ agoMs, ...limit }) => ({ ...limit, at: now - agoMs })),
      now,
    ),
    draining: shared.draining.applyUpdates(
      update.draining.map(({ runner, agoMs }) => ({ runner, at: now - agoMs })),
      now,
    ),
    paces: shared.paces.applyUpdates(
      neighbour,
      update.paces.map(({ stated, ...pace }) => ({
        ...pace,
        stated: stated && {
          hundredths: stated.hundredths,
          at: now - stated.agoMs,
        },
      })),
      now,
    ),
    places: shared.places.applyUpdates(
      fromPlaceAges(update.places, now),
      now,
    ),
    streams: shared.origins.applyUpdates(neighbour, update.streams),
    usage: shared.usage?.applyUpdates(update.usage) ?? [],
    shares: shared.shares.applyUpdates(neighbour, update.shares, now),
    // After the counts that they cover.
    ends: shared.usage?.applyEnds(update.ends) ?? [],
    returned,
    urgent: loads.some(({ waiting }) => waiting.length > 0),
  };
}

function applyLoad(
  { loads, shares }: SharedRunnerState,
  neighbour: string,
  received: { readonly load: RunnerLoadEntry; readonly now: number },
): void {
  const { load, now } = received;
  const waiting = load.waiting.map(
    ({ rank, ageMs, leftMs, requests, unreadTokens, share }) => ({
      rank,
      requests,
      unreadTokens,
      arrivedAt: now - ageMs,
      startBy: now + leftMs,
      share: shares.readShare(neighbour, share, now),
    }),
  );
  loads.of(load.runner).setNeighbourLoad(neighbour, load, { now, waiting });
}
