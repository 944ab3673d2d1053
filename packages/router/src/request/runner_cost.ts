/**
 * What a runner would cost a request, in ms of its time and of others'.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import { prefillMs } from "../process/prefill_time.ts";
import { hasLongOutput, isTight, MAX_TIGHT_PREFILL_MS } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";

/**
 * What a ms of reading counts against a ms of waiting. Reading a prompt twice
 * takes from everybody, waiting only from the one that waits. In a burst on 23
 * engines, 2.5 read 3.9 million tokens again, 5 read 2.2 and 10 read 1.5; at 10
 * urgent short requests wait too long at their homes, and 25 of 245 got nothing.
 */
const WORK_WEIGHT = 5;
/**
 * What a ms of reading counts besides, where another runner has read the same or
 * is about to. Engines read at their limit in a burst, so what is read twice
 * makes all others wait: on 98 engines 7.8 of 48 million tokens were read again
 * without this weight, 6.8 with 4 and 5.2 with 8.
 */
const AGAIN_WEIGHT = 8;
/** Milliseconds of wait that a prompt's home may have more than another runner. */
const AWAY_MS = 30;
/**
 * The same for a prompt that nobody is known to hold. Daemons that have all
 * been restarted know nothing, but runners still hold most prompts, at home.
 */
const AWAY_UNKNOWN_MS = 200;
/**
 * What a fetch from another runner costs beside its time, in ms: a second copy
 * takes memory from other prompts. On 23 engines 0.878 of the worth was served
 * with 40, 0.834 with 120 and 0.857 with 0, where twice as much was copied.
 */
const FETCH_MS = 40;
/** What a stream with tight gaps risks among long prompts, in ms of wait. */
const AMONG_LONG_MS = 150;
/** What a long prompt costs where tight streams are at home, in ms of wait. */
const AMONG_TIGHT_MS = 100;
/**
 * What a long answer risks where prompts are read without pause, in ms of wait:
 * it would not end in time. At the runners of tight streams it does, as far as
 * its prompt disturbs none of them.
 */
const LONG_ANSWER_MS = 300;
/** What a late tight stream is worth, in ms of a runner's time. */
const TIGHT_STREAM_MS = 100;
/**
 * What a runner costs whose slots are all taken, in ms of wait; with the square
 * of the part that is taken, so that it counts only near the end. It is more than
 * the cost of the wrong kind of runner: where slots are scarce, urgent streams
 * otherwise wait for the few runners kept for them while others have slots free.
 * On engines of 16 slots, two days of two bursts each: worth 0.461 and 0.392
 * without, 0.483 and 0.475 with it; nothing changes on engines of 64 and 128.
 */
const CROWD_MS = 200;
/** What a runner's other requests slow down one more, in ms each. */
const BESIDE_MS = 4;
/** How much slower a runner is taken to be while it warms up. */
export const WARM_UP_FACTOR = 2;
/**
 * Milliseconds of wait that the runner which a request waits for may have more
 * than another one. Each move begins a new wait.
 */
const STAY_MS = 100;
/** What each failure since the last success counts, in ms of wait. */
const FAILURE_MS = 300;

/** What a runner would cost a request, in ms. */
export interface CostEstimate {
  readonly runner: Runner;
  readonly prefillTokens: number;
  readonly fetchFrom: Runner | undefined;
  readonly costMs: number;
}

/** A runner that holds part of a prompt. */
export interface PrefixHolder {
  readonly runner: Runner;
  readonly tokens: number;
}

function cachedTokens(
  fleet: RunnerFleet,
  demand: Demand,
  runner: Runner,
): number {
  return fleet.prefixes.cachedTokens(runner.id, demand.prompt, fleet.now);
}

/** What runners hold of a prompt. */
export interface PrefixHoldings {
  /** The runner that has read most of it; none when nobody has. */
  readonly holder: PrefixHolder | undefined;
  /** Most tokens that any runner has read, or is about to read. */
  readonly maxCachedTokens: number;
}

/** Finds what runners hold of a prompt. */
export function findPrefixHoldings(
  fleet: RunnerFleet,
  demand: Demand,
  runners: readonly Runner[],
): PrefixHoldings {
  let holder: PrefixHolder | undefined;
  let promisedTokens = 0;
  for (const runner of runners) {
    const { id } = runner;
    const promised = cachedTokens(fleet, demand, runner);
    if (promised === 0) continue;
    promisedTokens = Math.max(promisedTokens, promised);
    const tokens = fleet.prefixes.fetchableTokens(id, demand.prompt, fleet.now);
    if (tokens > (holder?.tokens ?? 0)) holder = { runner, tokens };
  }
  return { holder, maxCachedTokens: promisedTokens };
}

/** What a request risks, or makes others risk, by the runner's kind, in ms. */
function misplacedMs(demand: Demand, kept: boolean): number {
  if (isTight(demand)) return kept ? 0 : AMONG_LONG_MS;
  if (hasLongOutput(demand)) return kept ? 0 : LONG_ANSWER_MS;
  return kept ? AMONG_TIGHT_MS : 0;
}

/** What a runner would cost a request. */
export function estimateCost(
  fleet: RunnerFleet,
  demand: Demand,
  place: {
    readonly runner: Runner;
    /** Whether the prompt is at home there, by its rendezvous hash. */
    readonly atHome: boolean;
    readonly kept: boolean;
    readonly holdings: PrefixHoldings;
  },
): CostEstimate {
  const { runner, atHome, kept, holdings } = place;
  const { holder, maxCachedTokens: promisedTokens } = holdings;
  const load = fleet.loads.of(runner.id);
  const cached = cachedTokens(fleet, demand, runner);
  const missing = holder === undefined ? 0 : holder.tokens - cached;
  const fetchMsPerToken = demand.engine!.fetchMsPerToken ?? Infinity;
  const fetchMs = missing * fetchMsPerToken;
  const fetches = missing > 0 && fetchMs < prefillMs(missing);
  const held = cached + (fetches ? missing : 0);
  const unreadTokens = Math.max(0, demand.promptTokens - held);
  const againMs = prefillMs(Math.max(0, promisedTokens - held));
  const tight = isTight(demand);
  const waitMs = prefillMs(
    load.total.unreadTokens +
      load.queue.workAhead(demand.queueKey, fleet.now).unreadTokens,
  );
  const ownMs = prefillMs(unreadTokens) + (fetches ? fetchMs + FETCH_MS : 0);
  const away = atHome ? 0 : holder === undefined ? AWAY_UNKNOWN_MS : AWAY_MS;
  const misplaced = misplacedMs(demand, kept);
  const harm = !tight && waitMs + ownMs > MAX_TIGHT_PREFILL_MS
    ? TIGHT_STREAM_MS * load.total.tight
    : 0;
  const fill = load.total.inFlight / demand.engine!.slots;
  const batch = load.total.inFlight * BESIDE_MS + CROWD_MS * fill ** 2;
  const slow = runner.warmUpMs > 0 ? WARM_UP_FACTOR : 1;
  const stays = demand.awaitedRunner === runner.id ? STAY_MS : 0;
  const costMs = slow * (waitMs + WORK_WEIGHT * ownMs) +
    AGAIN_WEIGHT * againMs + away + misplaced + harm + batch +
    FAILURE_MS * load.failures - stays;
  return {
    runner,
    prefillTokens: unreadTokens,
    fetchFrom: fetches ? holder!.runner : undefined,
    costMs,
  };
}
