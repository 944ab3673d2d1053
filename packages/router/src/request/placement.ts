/**
 * Which runner gets a request.
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
import { poolsOf } from "./runner_pools.ts";

/** A runner and what the choice was based on, for the log. */
export interface RunnerChoice {
  readonly runner: Runner;
  /** Prompt tokens that the runner has to read, as estimated. */
  readonly prefillTokens: number;
  /** A runner that holds more of the prompt, to fetch it from. */
  readonly fetchFrom: Runner | undefined;
  /** Whether the request is a stream that bears only short pauses. */
  readonly tight: boolean;
  /** Whether the runner has so much work that the request had better not start. */
  readonly overloaded: boolean;
  readonly candidates: number;
  readonly reason: "home" | "spread" | "least-loaded";
}

/** Requests that a runner in another failure domain must have less to be taken. */
const DOMAIN_PENALTY = 0.7;

/**
 * How much more a runner of a plain service costs when all its answers are
 * failures. One that fails at once seems idle and drew 19 of 46 requests in two
 * seconds, half of which failed; with 16, a runner that fails 4 of 10 is chosen
 * only when the others have seven times its load.
 */
const FAILED_WEIGHT = 16;

/** The part of a prompt that most decides what a runner can reuse. */
function sharedPart(prompt: readonly PromptPart[]): PromptPart | undefined {
  return prompt.at(-2) ?? prompt[0];
}

function usable(
  fleet: RunnerFleet,
  excluded: ReadonlySet<string>,
): readonly Runner[] {
  const { limits, now } = fleet;
  const left = fleet.runners.filter(({ id }) =>
    !excluded.has(id) && (!limits.hasLimits || limits.allowsRequest(id, now))
  );
  const sound = left.filter(({ id }) =>
    !fleet.loads.of(id).isEjected(fleet.now)
  );
  // All at once look dead mostly when this daemon is cut off, or wrong.
  return sound.length > 0 ? sound : left;
}

function leastLoaded(
  fleet: RunnerFleet,
  runners: readonly Runner[],
): RunnerChoice {
  const cost = (runner: Runner) => {
    const load = fleet.loads.of(runner.id);
    const far = runner.failureDomain === fleet.failureDomain
      ? 0
      : DOMAIN_PENALTY;
    const requests = load.requestCount(fleet.now);
    const slow = runner.warmUpMs > 0 ? WARM_UP_FACTOR : 1;
    const vain = 1 + FAILED_WEIGHT * load.failureRate(fleet.now);
    return slow * vain * (1 + requests + far + load.failures) /
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
 * Whether a runner has room for a request: not too much work, and for a long
 * prompt no tight streams that it would make late.
 */
export function hasCapacity(
  fleet: RunnerFleet,
  demand: Demand,
  runner: Runner,
): boolean {
  return !isOverloaded(fleet, demand, runner) &&
    isBearable(fleet, demand, runner);
}

function isBearable(
  fleet: RunnerFleet,
  demand: Demand,
  runner: Runner,
): boolean {
  return isTight(demand) || !poolsOf(fleet.runners).reserved.has(runner.name) ||
    !delaysTightStreams(fleet, demand, runner);
}

function byPrefix(
  fleet: RunnerFleet,
  demand: Demand,
  runners: readonly Runner[],
): RunnerChoice {
  const pools = poolsOf(fleet.runners);
  const tight = isTight(demand);
  const part = sharedPart(demand.prompt)!;
  const names = new Set(runners.map(({ name }) => name));
  const home = pools.home(part.id, { tight, usable: names });
  const holdings = findPrefixHoldings(fleet, demand, runners);
  const bearable = runners.filter((each) => isBearable(fleet, demand, each));
  let best: CostEstimate | undefined;
  for (const runner of bearable.length > 0 ? bearable : runners) {
    const quote = estimateCost(fleet, demand, {
      runner,
      atHome: runner.name === home,
      kept: pools.reserved.has(runner.name),
      holdings,
    });
    if (best === undefined || quote.costMs < best.costMs) best = quote;
  }
  const { runner, prefillTokens: unreadTokens, fetchFrom } = best!;
  return {
    runner,
    prefillTokens: unreadTokens,
    fetchFrom,
    tight,
    overloaded: !hasCapacity(fleet, demand, runner),
    candidates: runners.length,
    reason: runner.name === home ? "home" : "spread",
  };
}

/**
 * Chooses a runner, or none when no runner is left.
 *
 * Requests to a model go to the runner that costs least: every daemon finds the
 * same home for a prompt by rendezvous hashing of the deepest part that prompts
 * share, without asking, and goes elsewhere when reading the prompt there, or
 * fetching it, costs less than the wait at home. A runner that costs least but
 * has no room is still the choice, marked as overloaded: the request had better
 * wait for it than be read again at the next one that has. Streams with tight
 * gaps get runners of their own, because a chunk of a long prompt delays every
 * token beside it.
 */
export function chooseRunner(
  fleet: RunnerFleet,
  demand: Demand,
  excluded: ReadonlySet<string>,
): RunnerChoice | undefined {
  const runners = usable(fleet, excluded);
  if (runners.length === 0) return undefined;
  if (demand.engine === undefined || demand.prompt.length === 0) {
    return leastLoaded(fleet, runners);
  }
  return byPrefix(fleet, demand, runners);
}
