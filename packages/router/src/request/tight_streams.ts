/**
 * Where streams with tight gap targets run, by the pace of the runners.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import type { Candidate } from "./candidate.ts";
import { gapMargin, isTight, missesGaps } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import { poolsOf, TIGHT_SHARE } from "./runner_pools.ts";
import type { RunnerPools } from "./runner_pools.ts";

/**
 * Milliseconds for which a decision on reserving holds: pools decide on the home
 * runners of prompts, so they must not change with each moment of a runner. A
 * check of one runner for a waiting request also stays independent of the number
 * of runners.
 */
const DECISION_MS = 1_000;

interface Decision {
  readonly reserve: boolean;
  readonly gapTargetMs: number;
  readonly at: number;
}

const decisions = new WeakMap<readonly Runner[], Decision>();

/**
 * Returns the pools of the service's runners. Runners are reserved for tight
 * streams only where prompts delay the events of some stream on most runners:
 * with engines on which an event takes half of the shortest gap target beside
 * any prompt, the reserve would hold 30 of 100 engines back from most requests.
 */
export function fleetPools(
  fleet: RunnerFleet,
  { engine }: Demand,
): RunnerPools {
  const { runners, shortestGapMs: gapTargetMs, pace, now } = fleet;
  if (gapTargetMs === undefined) return poolsOf(runners);
  const last = decisions.get(runners);
  const holds = last !== undefined && last.gapTargetMs === gapTargetMs &&
    Math.abs(now - last.at) < DECISION_MS;
  if (holds) return poolsOf(runners, last.reserve);
  const margin = gapMargin(fleet, { gapTargetMs });
  const keeping = runners.filter(({ id }) =>
    !isTight({ engine, gapTargetMs }, margin, pace.engineSpeed(id, now))
  );
  const reserve = keeping.length < TIGHT_SHARE * runners.length;
  decisions.set(runners, { reserve, gapTargetMs, at: now });
  return poolsOf(runners, reserve);
}

/**
 * Leaves out the runners on which events of the stream would miss their gap
 * target beside prompts, while others keep it. On an engine that takes 1.7 times
 * as long as usual an event took 330 ms, though the target was 300.
 */
export function keepingGaps(
  demand: Demand,
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const keeping = candidates.filter(({ speed }) => !missesGaps(demand, speed));
  return keeping.length > 0 ? keeping : candidates;
}
