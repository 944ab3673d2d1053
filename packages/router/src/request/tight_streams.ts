/**
 * Where streams with tight gap targets run, by the pace of the runners.
 *
 * @module
 */
import type { ServiceDemand } from "../process/service_demand.ts";
import { delaysTightStreams } from "./admission.ts";
import type { Candidate } from "./candidate.ts";
import { gapMargin, isTight, missesGaps } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import {
  maxReserved,
  poolsOf,
  reserveOrder,
  RunnerPools,
  TIGHT_SHARE,
} from "./runner_pools.ts";

/**
 * Milliseconds for which a decision on reserving holds: pools decide on the home
 * runners of prompts, so they must not change with each moment of a runner. A
 * check of one runner for a waiting request also stays independent of the number
 * of runners.
 */
const DECISION_MS = 1_000;

/**
 * Speed relative to the mean of the service below which engines are reserved
 * last: events of tight streams take longer on them.
 */
const SLOW_SPEED = 0.8;

/**
 * Factor by which the margin of gap targets is larger while runners are reserved,
 * so that the reserve does not come and go with the estimate of slow moments.
 */
const RESERVE_HYSTERESIS = 1.25;

interface Decision {
  readonly gapTargetMs: number;
  readonly at: number;
  readonly pools: RunnerPools;
}

/** By list of runners, or by the demand of the service where that is known. */
const decisions = new WeakMap<object, Decision>();

/**
 * Returns the pools of the service's runners. Runners are reserved for tight
 * streams only where prompts delay the events of some stream on most runners:
 * with engines on which an event takes half of the shortest gap target beside
 * any prompt, the reserve would hold 30 of 100 engines back from most requests.
 */
export function fleetPools(
  fleet: RunnerFleet,
  demand: Demand,
): RunnerPools {
  const { runners, shortestGapMs: gapTargetMs, now } = fleet;
  if (gapTargetMs === undefined) return poolsOf(runners);
  const key = fleet.demand ?? runners;
  const last = decisions.get(key);
  const holds = last !== undefined && last.gapTargetMs === gapTargetMs &&
    Math.abs(now - last.at) < DECISION_MS;
  if (holds) return last.pools;
  const reserves = fleet.demand !== undefined && last !== undefined &&
    last.pools.reserved.size > 0;
  const needed = needsReserve(fleet, demand, {
    gapTargetMs,
    hysteresis: reserves ? RESERVE_HYSTERESIS : 1,
  });
  const pools = fleet.demand === undefined
    ? poolsOf(runners, needed)
    : demandPools(fleet, fleet.demand, {
      engine: demand.engine,
      needed,
      before: last?.pools,
    });
  decisions.set(key, { gapTargetMs, at: now, pools });
  return pools;
}

/** Whether prompts delay streams with this gap target on most runners. */
function needsReserve(
  fleet: RunnerFleet,
  { engine }: Demand,
  { gapTargetMs, hysteresis }: {
    readonly gapTargetMs: number;
    readonly hysteresis: number;
  },
): boolean {
  const { runners, pace, now } = fleet;
  const margin = hysteresis * gapMargin(fleet, { gapTargetMs });
  const keeping = runners.filter(({ id }) =>
    !isTight({ engine, gapTargetMs }, margin, pace.engineSpeed(id, now))
  );
  return keeping.length < TIGHT_SHARE * runners.length;
}

/**
 * Pools whose sizes follow the demand of tight streams, and whose homes follow
 * the pace of the runners.
 */
function demandPools(
  { runners, loads, pace, now }: RunnerFleet,
  { reserve, speeds }: ServiceDemand,
  { engine, needed, before }: Pick<Demand, "engine"> & {
    readonly needed: boolean;
    /** The pools until now. */
    readonly before: RunnerPools | undefined;
  },
): RunnerPools {
  const speedOf = new Map<string, number>();
  let streams = 0;
  for (const { id, name } of runners) {
    const factor = pace.lastingFactor?.(id, now) ?? 1;
    speedOf.set(name, speeds.speed(name, factor));
    streams += loads.of(id).total.tightStreams;
  }
  speeds.retain(speedOf);
  const size = reserve.size({
    needed,
    most: maxReserved(speedOf.size),
    streams,
    slots: engine!.slots,
    msPerToken: pace.engineSpeed(undefined, now).prefillMs(1),
  }, now);
  const leaving = runners.filter(({ id, name }) =>
    before?.guarded.has(name) && loads.of(id).total.tightStreams > 0
  ).map(({ name }) => name);
  if (before?.fits({ size, speedOf, leaving })) return before;
  const names = [...speedOf.keys()];
  const order = size === 0 ? [] : reserveOrder(names);
  const isSlow = (name: string) => speedOf.get(name)! < SLOW_SPEED;
  const reserved = [
    ...order.filter((name) => !isSlow(name)),
    ...order.filter(isSlow),
  ].slice(0, size);
  return new RunnerPools(names, { reserved, leaving, speedOf });
}

/**
 * Whether a prompt may be prefilled on a runner that is reserved for tight
 * streams. Where the pace is observed, an event of the stream with the shortest
 * gap target must keep it beside all unread prompts and that of another tight
 * stream, also in a slow moment of the host and while no tight stream is there: in
 * a burst of long prompts, reserved engines without a stream were filled by them,
 * and the next urgent stream was late. A stream with the shortest gap target
 * itself is always accepted.
 */
export function toleratesPrefill(
  { shortestGapMs, demand: known, now }: RunnerFleet,
  demand: Demand,
  candidate: Candidate,
): boolean {
  const { load, speed, cachedTokens, tight, guarded } = candidate;
  if (!guarded) return true;
  if (speed.eventMs === undefined || shortestGapMs === undefined) {
    return tight || !delaysTightStreams(demand, candidate);
  }
  if (demand.gapTargetMs === shortestGapMs) return true;
  const { unreadTokens, inFlight, tightStreams } = load.total;
  if (tightStreams === 0 && known?.reserve.arriving(now) === false) return true;
  const tightTokens = known?.reserve.prefillTokens(now) ?? 0;
  const eventMs = speed.eventMs({
    tokens: demand.engine!.eventTokens,
    requests: inFlight + 1,
    unreadTokens: unreadTokens + demand.promptTokens - cachedTokens +
      tightTokens,
  });
  return eventMs <= shortestGapMs;
}

/**
 * Leaves out the runners on which events of the stream would miss their gap
 * target beside prompts, while others keep it: also in slow moments of hosts
 * where enough runners do, else at their pace of this moment. On an engine that
 * takes 1.7 times as long as usual an event took 330 ms, though the target was
 * 300, and 900 ms in a slow moment.
 */
export function keepingGaps(
  demand: Demand,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const settled = candidates.filter(({ tight }) => !tight);
  if (settled.length >= TIGHT_SHARE * candidates.length) return settled;
  const keeping = candidates.filter(({ speed }) => !missesGaps(demand, speed));
  return keeping.length > 0 ? keeping : candidates;
}
