/**
 * Selects the runner on which a request is placed.
 *
 * @module
 */
import type { PromptPart } from "../process/prefix_index.ts";
import type { Runner } from "../process/runner.ts";
import { isOverloaded } from "./admission.ts";
import { homesOf } from "./home_runners.ts";
import { candidatesOf } from "./candidate.ts";
import type { Candidate } from "./candidate.ts";
import { gapMargin, isTight } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import { remoteMs } from "./remote_cost.ts";
import { estimateCost, findPrefixHoldings } from "./runner_cost.ts";
import type { CostEstimate } from "./runner_cost.ts";
import {
  choosePlainRunner,
  isQueued,
  maySendPlain,
} from "./plain_admission.ts";
import type { PlainFleet, PlainRoom } from "./plain_admission.ts";
import { penaltyFactor, REMOTE_DOMAIN_PENALTY } from "./runner_penalties.ts";
import { runnersWithMemory } from "./runner_memory.ts";
import { silenceFactor } from "./silence.ts";
import { fleetPools, keepingGaps, toleratesPrefill } from "./tight_streams.ts";

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
  /** Capacity of the runner, where requests to its plain service are queued. */
  readonly room?: PlainRoom;
}

/**
 * Returns the deepest part of a prompt that other prompts share, which determines
 * most how much of its cache a runner can reuse. The last part of a prompt is
 * specific to the request.
 */
export function sharedPart(
  prompt: readonly PromptPart[],
): PromptPart | undefined {
  return prompt.at(-2) ?? prompt[0];
}

/** Returns the runners that a request may be sent to, or wait for. */
export function eligibleRunners(
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
  // A runner that is slow or has a backlog may only be silent for longer.
  if (!load.isEjected(now)) return false;
  const backlogMs = pace.prefillMs(id, load.total.unreadTokens, now);
  return load.isEjected(now, backlogMs, silenceFactor(fleet, demand, id));
}

function leastLoaded(
  fleet: RunnerFleet,
  demand: Demand,
  runners: readonly Runner[],
): RunnerChoice {
  const cost = (runner: Runner) => {
    const load = fleet.loads.of(runner.id);
    const knownMs = fleet.pace.responseMs(runner.id, fleet.now);
    const domainPenalty = runner.failureDomain === fleet.failureDomain
      ? 0
      : knownMs === undefined
      ? REMOTE_DOMAIN_PENALTY
      : remoteMs(fleet, demand, runner) * runner.slots / knownMs;
    const requests = load.requestCount(fleet.now);
    const workMs = knownMs ?? 1;
    return workMs * penaltyFactor(runner, load, fleet.now) *
      (1 + requests + domainPenalty + load.failures) /
      Math.max(1, runner.slots);
  };
  let best = runners[0]!;
  let lowest = cost(best);
  for (const runner of runners.slice(1)) {
    const other = cost(runner);
    if (other < lowest) [best, lowest] = [runner, other];
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

/** Selects a runner of a plain service whose requests are queued. */
function fromPlainFleet(
  fleet: PlainFleet,
  demand: Demand,
  runners: readonly Runner[],
): RunnerChoice {
  const { room, overloaded } = choosePlainRunner(
    fleet,
    demand,
    runners,
  );
  return {
    runner: room.runner,
    prefillTokens: 0,
    fetchFrom: undefined,
    tight: false,
    overloaded,
    candidates: runners.length,
    reason: "least-loaded",
    room,
  };
}

/**
 * Whether a request that waits for a runner may be sent: to this runner, or to
 * another one of a plain service.
 */
export function maySendWaiting(
  fleet: RunnerFleet,
  demand: Demand,
  waiting: {
    readonly runner: Runner;
    /** Whether all daemons know that the request waits for the runner. */
    readonly settled: boolean;
    /** Ids of the runners that were tried. */
    readonly excluded: ReadonlySet<string>;
  },
): boolean {
  const { runner, settled, excluded } = waiting;
  if (!isQueued(fleet)) return settled && hasCapacity(fleet, demand, runner);
  const runners = eligibleRunners(fleet, demand, excluded);
  return maySendPlain(fleet, demand, runners);
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
  if (isOverloaded(fleet, demand, runner)) return false;
  const pools = fleetPools(fleet, demand);
  if (!pools.guarded.has(runner.name)) return true;
  const [candidate] = candidatesOf(fleet, demand, { runners: [runner], pools });
  return toleratesPrefill(fleet, demand, candidate!);
}

function lowestCost(
  fleet: RunnerFleet,
  demand: Demand,
  eligible: readonly Runner[],
): RunnerChoice {
  const pools = fleetPools(fleet, demand);
  const all = candidatesOf(fleet, demand, { runners: eligible, pools });
  const candidates = keepingGaps(demand, all);
  const meanSpeed = fleet.pace.engineSpeed(undefined, fleet.now);
  const tight = isTight(demand, gapMargin(fleet, demand), meanSpeed);
  const sharedPrefix = sharedPart(demand.prompt)!;
  const homes = homesOf(fleet, sharedPrefix.id, { candidates, pools, tight });
  const holdings = findPrefixHoldings(fleet, demand, all);
  const tolerant = candidates.filter((candidate) =>
    toleratesPrefill(fleet, demand, candidate)
  );
  let best: CostEstimate | undefined;
  let chosen: Candidate | undefined;
  for (const candidate of tolerant.length > 0 ? tolerant : candidates) {
    const estimate = estimateCost(fleet, demand, {
      candidate,
      homes,
      holdings,
      meanSpeed,
    });
    if (best === undefined || estimate.costMs < best.costMs) {
      best = estimate;
      chosen = candidate;
    }
  }
  const { runner, prefillTokens, fetchFrom } = best!;
  return {
    runner,
    prefillTokens,
    fetchFrom,
    tight: chosen!.tight,
    overloaded: isOverloaded(fleet, demand, runner) ||
      !toleratesPrefill(fleet, demand, chosen!),
    candidates: eligible.length,
    reason: homes.names.has(runner.name) ? "home" : "spread",
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
  if (isQueued(fleet)) return fromPlainFleet(fleet, demand, runners);
  if (demand.engine === undefined || demand.prompt.length === 0) {
    const fitting = runnersWithMemory(fleet, demand, runners);
    if (fitting.length > 0) return leastLoaded(fleet, demand, fitting);
    return { ...leastLoaded(fleet, demand, runners), overloaded: true };
  }
  return lowestCost(fleet, demand, runners);
}
