/**
 * Selects the runner on which a request is placed.
 *
 * @module
 */
import type { PromptPart } from "../process/prefix_index.ts";
import type { Runner } from "../process/runner.ts";
import { delaysTightStreams, isOverloaded } from "./admission.ts";
import { isTight } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import {
  estimateCost,
  findPrefixHoldings,
  WARM_UP_FACTOR,
} from "./runner_cost.ts";
import type { CostEstimate } from "./runner_cost.ts";
import type { RunnerPools } from "./runner_pools.ts";
import { runnersWithMemory } from "./runner_memory.ts";
import { silenceFactor } from "./silence.ts";
import { fleetPools, keepingGaps } from "./tight_streams.ts";

/** A selected runner, with the inputs of the decision for the log. */
export interface RunnerChoice {
  readonly runner: Runner;
  /** Estimated number of prompt tokens that the runner has to prefill. */
  readonly prefillTokens: number;
  /** A runner with more of the prompt in its cache, to fetch it from. */
  readonly fetchFrom: Runner | undefined;
  /** Whether the request is a stream with a tight gap target. */
  readonly tight: boolean;
  /** Whether the runner has so much work that the request should not start. */
  readonly overloaded: boolean;
  readonly candidates: number;
  readonly reason: "home" | "spread" | "least-loaded";
}

/**
 * Number of requests by which a runner in another failure domain must be less
 * loaded to be selected.
 */
const REMOTE_DOMAIN_PENALTY = 0.7;

/**
 * Additional relative cost of a runner of a plain service when all its responses
 * are failures. A runner that fails at once appears idle: one was sent 19 of 46 requests in two seconds, half of which failed. With 16, a runner that
 * fails 4 of 10 requests is selected only when the others have seven times its
 * load.
 */
const FAILURE_RATE_WEIGHT = 16;

/**
 * Returns the deepest part of a prompt that other prompts share, which determines
 * most how much of its cache a runner can reuse. The last part of a prompt is
 * specific to the request.
 */
function sharedPart(prompt: readonly PromptPart[]): PromptPart | undefined {
  return prompt.at(-2) ?? prompt[0];
}

function eligibleRunners(
  fleet: RunnerFleet,
  demand: Demand,
  excluded: ReadonlySet<string>,
): readonly Runner[] {
  const { restrictions, now } = fleet;
  const unrestricted = !restrictions.exist;
  const untried = fleet.runners.filter(({ id }) =>
    !excluded.has(id) && (unrestricted || restrictions.allowRequest(id, now))
  );
  const healthy = untried.filter(({ id }) => !isEjected(fleet, demand, id));
  // If all runners appear to be down, this daemon is probably partitioned or
  // mistaken.
  return healthy.length > 0 ? healthy : untried;
}

/** Whether a runner is ejected after failures, or silent for too long. */
function isEjected(fleet: RunnerFleet, demand: Demand, id: string): boolean {
  const { loads, pace, now } = fleet;
  const load = loads.of(id);
  const backlogMs = pace.prefillMs(id, load.total.unreadTokens, now);
  return load.isEjected(now, backlogMs, silenceFactor(fleet, demand, id));
}

function leastLoaded(
  fleet: RunnerFleet,
  runners: readonly Runner[],
): RunnerChoice {
  const cost = (runner: Runner) => {
    const load = fleet.loads.of(runner.id);
    const domainPenalty = runner.failureDomain === fleet.failureDomain
      ? 0
      : REMOTE_DOMAIN_PENALTY;
    const requests = load.requestCount(fleet.now);
    const slowdown = runner.warmUpMs > 0 ? WARM_UP_FACTOR : 1;
    const failureFactor = 1 + FAILURE_RATE_WEIGHT * load.failureRate(fleet.now);
    const workMs = fleet.pace.responseMs(runner.id, fleet.now) ?? 1;
    return workMs * slowdown * failureFactor *
      (1 + requests + domainPenalty + load.failures) /
      Math.max(1, runner.slots);
  };
  let best = runners[0]!;
  for (const runner of runners) {
    if (cost(runner) < cost(best)) best = runner;
  }
  return {
    runner: best,
    prefillTokens: 0,
    fetchFrom: undefined,
    tight: false,
    overloaded: false,
    candidates: runners.length,
    reason: "least-loaded",
  };
}

/**
 * Whether a runner has capacity for a request: its load is within the limits,
 * and a long prompt would not delay tight streams on a reserved runner.
 */
export function hasCapacity(
  fleet: RunnerFleet,
  demand: Demand,
  runner: Runner,
): boolean {
  return !isOverloaded(fleet, demand, runner) &&
    toleratesPrefill(fleet, demand, {
      runner,
      pools: fleetPools(fleet, demand),
    });
}

/**
 * Whether a runner is not reserved for tight streams, or the prefill of the request
 * would not delay them.
 */
function toleratesPrefill(
  fleet: RunnerFleet,
  demand: Demand,
  { runner, pools }: { readonly runner: Runner; readonly pools: RunnerPools },
): boolean {
  return isTight(fleet, demand, runner.id) ||
    !pools.reserved.has(runner.name) ||
    !delaysTightStreams(fleet, demand, runner);
}

function lowestCost(
  fleet: RunnerFleet,
  demand: Demand,
  eligible: readonly Runner[],
): RunnerChoice {
  const pools = fleetPools(fleet, demand);
  const runners = keepingGaps(fleet, demand, eligible);
  const tight = isTight(fleet, demand);
  const sharedPrefix = sharedPart(demand.prompt)!;
  const names = new Set(runners.map(({ name }) => name));
  const home = pools.home(sharedPrefix.id, { tight, usable: names });
  const holdings = findPrefixHoldings(fleet, demand, eligible);
  const tolerant = runners.filter((runner) =>
    toleratesPrefill(fleet, demand, { runner, pools })
  );
  let best: CostEstimate | undefined;
  for (const runner of tolerant.length > 0 ? tolerant : runners) {
    const estimate = estimateCost(fleet, demand, {
      runner,
      atHome: runner.name === home,
      reserved: pools.reserved.has(runner.name),
      holdings,
    });
    if (best === undefined || estimate.costMs < best.costMs) best = estimate;
  }
  const { runner, prefillTokens, fetchFrom } = best!;
  return {
    runner,
    prefillTokens,
    fetchFrom,
    tight: isTight(fleet, demand, runner.id),
    overloaded: !hasCapacity(fleet, demand, runner),
    candidates: eligible.length,
    reason: runner.name === home ? "home" : "spread",
  };
}

/**
 * Selects a runner, or returns `undefined` when none is left.
 *
 * A request to a model goes to the runner with the lowest cost. All daemons
 * determine the same home runner for a prompt without coordination, by
 * rendezvous hashing of the deepest part that prompts share. The request goes
 * elsewhere when prefilling the prompt there, or fetching it, costs less than
 * the wait for the home runner. A runner that costs least but lacks capacity is
 * still selected and marked as overloaded: waiting for it is better than
 * prefilling the prompt again on the next runner with capacity. Streams with
 * tight gap targets get reserved runners, because a chunk of a long prompt
 * delays every token generated in the same batch.
 */
export function chooseRunner(
  fleet: RunnerFleet,
  demand: Demand,
  excluded: ReadonlySet<string>,
): RunnerChoice | undefined {
  const runners = eligibleRunners(fleet, demand, excluded);
  if (runners.length === 0) return undefined;
  if (demand.engine === undefined || demand.prompt.length === 0) {
    const fitting = runnersWithMemory(fleet, demand, runners);
    if (fitting.length > 0) return leastLoaded(fleet, fitting);
    return { ...leastLoaded(fleet, runners), overloaded: true };
  }
  return lowestCost(fleet, demand, runners);
}
