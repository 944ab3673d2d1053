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
  /** Most tokens of the answer. */
  readonly answerTokens: number;
  readonly targetMs: number;
  readonly gapTargetMs: number | undefined;
  /** Tiers in use that are less urgent. */
  readonly tiersBelow: number;
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
  /** A runner that holds more of the prompt, to fetch it from. */
  readonly fetchFrom: Runner | undefined;
  /** Whether the request is a stream that bears only short pauses. */
  readonly tight: boolean;
  /** Whether the runner has so much work that the request had better not start. */
  readonly overloaded: boolean;
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
/** Tokens of prompts that an engine reads in a ms, with its other work. */
const READ_TOKENS_PER_MS = 50;
/**
 * What a ms of reading counts against a ms of waiting. Reading a prompt twice
 * takes from everybody, waiting only from the one that waits.
 */
const WORK_WEIGHT = 2.5;
/** Milliseconds of wait that a prompt's home may have more than another runner. */
const AWAY_MS = 30;
/**
 * The same for a prompt that nobody is known to hold. Daemons that have all
 * been restarted know nothing, but runners still hold most prompts, at home.
 */
const AWAY_UNKNOWN_MS = 200;
/**
 * What a fetch from another runner costs beside its time, in ms: a second copy
 * takes memory from other prompts.
 */
const FETCH_MS = 30;
/** What a stream with tight gaps risks among long prompts, in ms of wait. */
const AMONG_LONG_MS = 150;
/** What a long prompt costs where tight streams are at home, in ms of wait. */
const AMONG_TIGHT_MS = 100;
/** Reading in ms that streams with tight gaps bear without a late event. */
const BEARABLE_MS = 100;
/** What a late tight stream is worth, in ms of a runner's time. */
const TIGHT_STREAM_MS = 100;
/** What a runner's other requests slow down one more, in ms each. */
const BESIDE_MS = 4;
/** Work in ms that a runner may have in flight when the least urgent start. */
const MAX_WORK_MS = 4_000;
/** Part of a runner's slots and memory that the least urgent may fill. */
const FILL_SHARE = 0.6;
/** How much more of them each more urgent tier may fill. */
const FILL_BY_TIER = 0.2;
/**
 * Reading in ms that may be ahead of the least urgent when it starts. Engines
 * read the prompts that they have admitted in turn, whatever their tiers, so
 * this bounds what an urgent request waits for.
 */
const MAX_BACKLOG_MS = 600;
/** How much more it may have for each tier that a request is more urgent. */
const WORK_BY_TIER = 1.6;
/** How much slower a runner is taken to be while it warms up. */
const WARM_UP_FACTOR = 2;
/** What each failure since the last success counts, in ms of wait. */
const FAILURE_MS = 300;
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
    const requests = load.requests(fleet.now);
    const slow = runner.warmUpMs > 0 ? WARM_UP_FACTOR : 1;
    return slow * (1 + requests + far + load.failures) /
      Math.max(1, runner.slots);
  };
  let best = runners[0]!;
  for (const runner of runners) {
    if (cost(runner) < cost(best)) best = runner;
  }
  return {
    runner: best,
    unreadTokens: 0,
    fetchFrom: undefined,
    tight: false,
    overloaded: false,
    candidates: runners.length,
    reason: "least-loaded",
  };
}

/** What a runner would cost a request, in ms. */
interface Quote {
  readonly runner: Runner;
  readonly unreadTokens: number;
  readonly fetchFrom: Runner | undefined;
  readonly costMs: number;
}

/** Ids of the runners that are kept for tight streams. */
function tightRunners(runners: readonly Runner[]): ReadonlySet<string> {
  if (runners.length < 2) return new Set();
  const ranked = new Rendezvous(runners.map(({ id }) => id)).order("tight");
  const count = Math.max(1, Math.round(runners.length * TIGHT_SHARE));
  return new Set(ranked.slice(0, count));
}

/** Milliseconds in which an engine reads tokens of prompts. */
function readMs(tokens: number): number {
  return tokens / READ_TOKENS_PER_MS;
}

function quoteOf(
  fleet: Fleet,
  demand: Demand,
  place: {
    readonly runner: Runner;
    /** Place in the order of the prompt's rendezvous hash, 0 being its home. */
    readonly rank: number;
    readonly kept: boolean;
    /** The runner that holds most of the prompt. */
    readonly holder: Holder | undefined;
  },
): Quote {
  const { runner, rank, kept, holder } = place;
  const load = fleet.loads.of(runner.id);
  const cached = cachedTokens(fleet, demand, runner);
  const missing = holder === undefined ? 0 : holder.tokens - cached;
  const fetchMsPerToken = demand.engine!.fetchMsPerToken ?? Infinity;
  const fetchMs = missing * fetchMsPerToken;
  const fetches = missing > 0 && fetchMs < readMs(missing);
  const unreadTokens = Math.max(
    0,
    demand.promptTokens - cached - (fetches ? missing : 0),
  );
  const tight = isTight(demand);
  const waitMs = readMs(load.all.unreadTokens);
  const ownMs = readMs(unreadTokens) + (fetches ? fetchMs + FETCH_MS : 0);
  const away = rank === 0
    ? 0
    : holder === undefined
    ? AWAY_UNKNOWN_MS
    : AWAY_MS;
  const misplaced = tight === kept ? 0 : tight ? AMONG_LONG_MS : AMONG_TIGHT_MS;
  const harm = !tight && waitMs + ownMs > BEARABLE_MS
    ? TIGHT_STREAM_MS * load.all.tight
    : 0;
  const batch = load.all.inFlight * BESIDE_MS;
  const slow = runner.warmUpMs > 0 ? WARM_UP_FACTOR : 1;
  const costMs = slow * (waitMs + WORK_WEIGHT * ownMs) + away + misplaced +
    harm +
    batch +
    FAILURE_MS * load.failures;
  return {
    runner,
    unreadTokens,
    fetchFrom: fetches ? holder!.runner : undefined,
    costMs,
  };
}

/** A runner that holds part of a prompt. */
interface Holder {
  readonly runner: Runner;
  readonly tokens: number;
}

function cachedTokens(fleet: Fleet, demand: Demand, runner: Runner): number {
  return fleet.prefixes.cachedTokens(runner.id, demand.prompt, fleet.now);
}

/** The runner that holds most of a prompt; none when nobody has read it. */
function holderOf(
  fleet: Fleet,
  demand: Demand,
  runners: readonly Runner[],
): Holder | undefined {
  let best: Holder | undefined;
  for (const runner of runners) {
    const tokens = fleet.prefixes.readTokens(
      runner.id,
      demand.prompt,
      fleet.now,
    );
    if (tokens > (best?.tokens ?? 0)) best = { runner, tokens };
  }
  return best;
}

/**
 * Whether a runner already works on so much that one more request of this tier
 * would keep those that are there from their ends.
 *
 * While an engine reads prompts without pause, streams get one token a step of
 * 40 ms instead of 6; those that need hundreds then run into their timeouts,
 * and all the work on them is lost. With less in flight, reading pauses and
 * they end. A runner's backlog is bounded too. Slots and memory are kept back for more urgent tiers, which would
 * otherwise wait for streams of seconds to end, or preempt them.
 */
function isOverloaded(fleet: Fleet, demand: Demand, runner: Runner): boolean {
  const { workTokens, unreadTokens, inFlight, memoryTokens } =
    fleet.loads.of(runner.id).all;
  const { engine, tiersBelow } = demand;
  const share = Math.min(1, FILL_SHARE + FILL_BY_TIER * tiersBelow);
  const memory = memoryTokens + demand.promptTokens + demand.answerTokens;
  const more = WORK_BY_TIER ** tiersBelow;
  return readMs(workTokens) > MAX_WORK_MS * more ||
    readMs(unreadTokens) > MAX_BACKLOG_MS * more ||
    inFlight >= share * engine!.slots ||
    memory > share * engine!.memoryTokens;
}

function byPrefix(
  fleet: Fleet,
  demand: Demand,
  runners: readonly Runner[],
): Choice {
  const kept = tightRunners(runners);
  const tight = isTight(demand);
  const pool = runners.filter(({ id }) => kept.has(id) === tight);
  const part = sharedPart(demand.prompt)!;
  const order = new Rendezvous(pool.map(({ id }) => id)).order(part.id);
  const ranks = new Map(order.map((id, rank) => [id, rank]));
  const holder = holderOf(fleet, demand, runners);
  const free = runners.filter((each) => !isOverloaded(fleet, demand, each));
  let best: Quote | undefined;
  for (const runner of free.length > 0 ? free : runners) {
    const quote = quoteOf(fleet, demand, {
      runner,
      rank: ranks.get(runner.id) ?? order.length,
      kept: kept.has(runner.id),
      holder,
    });
    if (best === undefined || quote.costMs < best.costMs) best = quote;
  }
  return {
    runner: best!.runner,
    unreadTokens: best!.unreadTokens,
    fetchFrom: best!.fetchFrom,
    tight,
    overloaded: free.length === 0,
    candidates: runners.length,
    reason: best!.runner.id === order[0] ? "home" : "spread",
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
  return byPrefix(fleet, demand, runners);
}
