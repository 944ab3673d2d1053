/**
 * Which runner gets a request.
 *
 * @module
 */
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import type { PrefixRecord, PromptPart } from "../process/prefix_record.ts";
import type { Runner } from "../process/runner_directory.ts";
import type { RunnerLoads } from "../process/runner_load.ts";
import type { Engine } from "../version/configuration.ts";

/** What a request asks of a runner. */
export interface Demand {
  readonly prompt: readonly PromptPart[];
  readonly promptTokens: number;
  readonly targetMs: number;
  readonly gapTargetMs: number | undefined;
  /** Absent for a plain service. */
  readonly engine: Engine | undefined;
}

/** What a choice is made from. */
export interface Fleet {
  readonly runners: readonly Runner[];
  readonly loads: RunnerLoads;
  readonly prefixes: PrefixRecord;
  /** Failure domain of this daemon. */
  readonly failureDomain: string;
  /** Steady milliseconds. */
  readonly now: number;
}

/** A runner and what the choice was based on, for the log. */
export interface Choice {
  readonly runner: Runner;
  /** Prompt tokens that the runner has to read, as estimated. */
  readonly unreadTokens: number;
  readonly candidates: number;
  readonly reason: "home" | "spread" | "least-loaded";
}

/**
 * Milliseconds of one engine step that also reads a chunk of a prompt: 2,048
 * tokens at 62 tokens a ms, and a share for attention to what was read.
 */
const CHUNK_STEP_MS = 40;
/** Part of a service's runners that serve streams with tight gaps. */
const TIGHT_SHARE = 0.3;
/** How far a runner may exceed the mean of requests in flight, as a factor. */
const LOAD_FACTOR = 1.5;
/** Requests that a runner may have beyond the factor, so that few do not spread. */
const LOAD_SLACK = 3;
/** Requests that a runner in another failure domain must have less to be taken. */
const DOMAIN_PENALTY = 0.7;

/**
 * Whether chunks of prompts beside a stream make its gaps too long. An event
 * holds several tokens, and each takes a whole step.
 */
function isTight(demand: Demand): boolean {
  const { engine, gapTargetMs } = demand;
  if (engine === undefined || gapTargetMs === undefined) return false;
  return gapTargetMs <= 1.25 * engine.eventTokens * CHUNK_STEP_MS;
}

/** The part of a prompt that most decides what a runner can reuse. */
function sharedPart(prompt: readonly PromptPart[]): PromptPart | undefined {
  return prompt.at(-2) ?? prompt[0];
}

function usable(
  fleet: Fleet,
  excluded: ReadonlySet<string>,
): readonly Runner[] {
  const left = fleet.runners.filter(({ id }) => !excluded.has(id));
  const sound = left.filter(({ id }) => !fleet.loads.of(id).ejected(fleet.now));
  // All at once look dead mostly when this daemon is cut off, or wrong.
  return sound.length > 0 ? sound : left;
}

function leastLoaded(fleet: Fleet, runners: readonly Runner[]): Choice {
  const cost = (runner: Runner) => {
    const load = fleet.loads.of(runner.id);
    const far = runner.failureDomain === fleet.failureDomain
      ? 0
      : DOMAIN_PENALTY;
    const requests = Math.max(load.inFlight, load.requests(fleet.now));
    return (requests + far + load.failures) / Math.max(1, runner.slots);
  };
  let best = runners[0]!;
  for (const runner of runners) {
    if (cost(runner) < cost(best)) best = runner;
  }
  return {
    runner: best,
    unreadTokens: 0,
    candidates: runners.length,
    reason: "least-loaded",
  };
}

/** Runners kept for tight streams, or the others. */
function poolFor(
  demand: Demand,
  runners: readonly Runner[],
): readonly Runner[] {
  if (runners.length < 2) return runners;
  const ranked = new Rendezvous(runners.map(({ id }) => id)).order("tight");
  const count = Math.max(1, Math.round(runners.length * TIGHT_SHARE));
  const tight = new Set(ranked.slice(0, count));
  const wanted = isTight(demand);
  return runners.filter(({ id }) => tight.has(id) === wanted);
}

function byPrefix(
  fleet: Fleet,
  demand: Demand,
  runners: readonly Runner[],
): Choice {
  const part = sharedPart(demand.prompt)!;
  const byId = new Map(runners.map((runner) => [runner.id, runner]));
  const order = new Rendezvous([...byId.keys()]).order(part.id);
  const inFlight = runners.reduce(
    (sum, { id }) => sum + fleet.loads.of(id).inFlight,
    0,
  );
  const bound = LOAD_FACTOR * inFlight / runners.length + LOAD_SLACK;
  const place = order.findIndex((id) => fleet.loads.of(id).inFlight < bound);
  const runner = byId.get(order[Math.max(0, place)]!)!;
  const cached = fleet.prefixes.cachedTokens(
    runner.id,
    demand.prompt,
    fleet.now,
  );
  return {
    runner,
    unreadTokens: Math.max(0, demand.promptTokens - cached),
    candidates: runners.length,
    reason: place <= 0 ? "home" : "spread",
  };
}

/**
 * Chooses a runner, or none when no runner is left.
 *
 * Requests to a model go to the runner that most likely holds their prompt:
 * every daemon finds the same one by rendezvous hashing of the deepest part
 * that prompts share, without asking, and goes on to the next one when it has
 * clearly more than the mean in flight. Streams with tight gaps get runners of
 * their own, because a chunk of a long prompt delays every token beside it.
 */
export function chooseRunner(
  fleet: Fleet,
  demand: Demand,
  excluded: ReadonlySet<string>,
): Choice | undefined {
  const runners = usable(fleet, excluded);
  if (runners.length === 0) return undefined;
  if (demand.engine === undefined || demand.prompt.length === 0) {
    return leastLoaded(fleet, runners);
  }
  return byPrefix(fleet, demand, poolFor(demand, runners));
}
