/**
 * Estimates what it costs to place a request on a runner, in ms of its own time
 * and of other requests' time.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import { prefillMs } from "../process/prefill_time.ts";
import { hasLongOutput, isTight, MAX_TIGHT_PREFILL_MS } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";

/**
 * Weight of a ms of prefill relative to a ms of waiting. Duplicate prefill
 * takes time from all requests, waiting only from the one that waits. In a
 * burst on 23 engines, 3.9 million tokens were prefilled again with 2.5, 2.2
 * million with 5 and 1.5 million with 10; with 10, urgent short requests wait
 * too long for their home runners, and 25 of 245 got no response.
 */
const WORK_WEIGHT = 5;
/**
 * Additional weight of a ms of prefill where another runner has prefilled the
 * same tokens or is about to. Engines are at their prefill limit in a burst, so
 * duplicate prefill delays all other requests: on 98 engines, 7.8 of 48 million
 * tokens were prefilled again without this weight, 6.8 with 4 and 5.2 with 8.
 */
const AGAIN_WEIGHT = 8;
/**
 * Milliseconds by which the wait for a prompt's home runner may exceed the wait
 * for another runner.
 */
const AWAY_MS = 30;
/**
 * Milliseconds of additional wait for the home runner of a prompt that no
 * runner is known to have cached. After a restart of all daemons nothing is
 * recorded, but most prompts are still cached on their home runners.
 */
const AWAY_UNKNOWN_MS = 200;
/**
 * Cost in ms of a fetch from another runner, besides the transfer time: a
 * second copy takes memory from other prompts. On 23 engines, 0.878 of the
 * total request value was served with 40, 0.834 with 120 and 0.857 with 0,
 * which copied twice as much.
 */
const FETCH_MS = 40;
/**
 * Cost in ms of placing a stream with a tight gap target among long prompts.
 */
const AMONG_LONG_MS = 150;
/**
 * Cost in ms of placing a long prompt on a runner reserved for tight streams.
 */
const AMONG_TIGHT_MS = 100;
/**
 * Cost in ms of placing a long response where prompts are prefilled back to
 * back: it would not finish in time. On a runner reserved for tight streams it
 * does, provided that its prompt delays none of them.
 */
const LONG_ANSWER_MS = 300;
/** Cost of each delayed tight stream, in ms of runner time. */
const TIGHT_STREAM_MS = 100;
/**
 * Cost in ms of a runner whose slots are all in use. It scales with the square
 * of the used share, so that it matters only near the limit. It exceeds the
 * cost of the wrong kind of runner: where slots are scarce, urgent streams
 * would otherwise wait for the few runners reserved for them while others have
 * free slots. On engines of 16 slots, over two days of two bursts each, the
 * value served was 0.461 and 0.392 without this cost, 0.483 and 0.475 with it;
 * it changes nothing on engines of 64 and 128 slots.
 */
const CROWD_MS = 200;
/** Slowdown in ms that each request in flight on a runner adds. */
const BESIDE_MS = 4;
/** Assumed slowdown factor of a runner that is warming up. */
export const WARM_UP_FACTOR = 2;
/**
 * Milliseconds by which the wait for the awaited runner may exceed the wait for
 * another one. Each change of runner restarts the wait.
 */
const STAY_MS = 100;
/** Cost in ms of each failure since the last success. */
const FAILURE_MS = 300;

/** Estimated cost of placing a request on a runner. */
export interface CostEstimate {
  readonly runner: Runner;
  readonly prefillTokens: number;
  readonly fetchFrom: Runner | undefined;
  readonly costMs: number;
}

/** A runner that has part of a prompt in its cache. */
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

/** Which part of a prompt runners have cached. */
export interface PrefixHoldings {
  /**
   * The runner that has prefilled most of the prompt; `undefined` if none has.
   */
  readonly holder: PrefixHolder | undefined;
  /** Most tokens of the prompt that any runner has prefilled or is about to. */
  readonly maxCachedTokens: number;
}

/** Finds which part of a prompt runners have cached. */
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

/**
 * Returns the cost in ms, to the request or to others, of the wrong kind of
 * runner.
 */
function misplacedMs(demand: Demand, kept: boolean): number {
  if (isTight(demand)) return kept ? 0 : AMONG_LONG_MS;
  if (hasLongOutput(demand)) return kept ? 0 : LONG_ANSWER_MS;
  return kept ? AMONG_TIGHT_MS : 0;
}

/** Estimates the cost of placing a request on a runner. */
export function estimateCost(
  fleet: RunnerFleet,
  demand: Demand,
  place: {
    readonly runner: Runner;
    /** Whether rendezvous hashing makes the runner the prompt's home. */
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
