/**
 * Estimates what it costs to place a request on a runner, in ms of its own time
 * and of other requests' time. The costs below stand for work at the assumed pace
 * and grow and shrink with the time that runners take for that work, so that a
 * service whose engines are all three times as fast makes the same choices.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import { PREFILL_TOKENS_PER_MS } from "../process/runner_pace.ts";
import type { EngineSpeed } from "../process/runner_pace.ts";
import { remoteMs } from "./remote_cost.ts";
import { slowdownOf } from "./runner_penalties.ts";
import { excessTokens } from "./home_runners.ts";
import type { Homes } from "./home_runners.ts";
import type { Candidate } from "./candidate.ts";
import { hasLongOutput, maxTightPrefillMs } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";

/**
 * Weight of a ms of prefill relative to a ms of waiting. Duplicate prefill
 * takes time from all requests, waiting only from the one that waits. In a
 * burst on 23 engines, 3.9 million tokens were prefilled again with 2.5, 2.2
 * million with 5 and 1.5 million with 10; with 10, urgent short requests wait
 * too long for their home runners, and 25 of 245 got no response.
 *
 * All but the request's own wait for it counts at the pace of a mean runner: at
 * its own pace, an engine that takes 2.4 times as long stays idle while prompts
 * wait for the others.
 */
const PREFILL_WEIGHT = 5;
/**
 * Additional weight of a ms of prefill where another runner has prefilled the
 * same tokens or is about to. Engines are at their prefill limit in a burst, so
 * duplicate prefill delays all other requests: on 98 engines, 7.8 of 48 million
 * tokens were prefilled again without this weight, 6.8 with 4 and 5.2 with 8.
 */
const DUPLICATE_PREFILL_WEIGHT = 8;
/**
 * Milliseconds by which the wait for a prompt's home runner may exceed the wait
 * for another runner.
 */
const AWAY_FROM_HOME_MS = 30;
/**
 * Milliseconds of additional wait for the home runner of a prompt that no
 * runner is known to have cached. After a restart of all daemons nothing is
 * recorded, but most prompts are still cached on their home runners.
 */
const AWAY_FROM_HOME_UNCACHED_MS = 200;
/**
 * Cost in ms of a fetch from another runner, besides the transfer time: a
 * second copy takes memory from other prompts. On 23 engines, 0.878 of the
 * total request value was served with 40, 0.834 with 120 and 0.857 with 0,
 * which copied twice as much.
 */
const FETCH_PENALTY_MS = 40;
/**
 * Cost in ms of placing a stream with a tight gap target among long prompts.
 */
const TIGHT_AMONG_LONG_MS = 150;
/**
 * Cost in ms of placing a long prompt on a runner reserved for tight streams.
 */
const LONG_AMONG_TIGHT_MS = 100;
/**
 * Cost in ms of placing a long response where prompts are prefilled back to
 * back: it would not finish in time. On a runner reserved for tight streams it
 * does, provided that its prompt delays none of them.
 */
const LONG_OUTPUT_MS = 300;
/** Cost of each delayed tight stream, in ms of runner time. */
const DELAYED_TIGHT_STREAM_MS = 100;
/**
 * Cost in ms of a runner whose slots are all in use. It scales with the square
 * of the used share, so that it matters only near the limit. It exceeds the
 * cost of the wrong kind of runner: where slots are scarce, urgent streams
 * would otherwise wait for the few runners reserved for them while others have
 * free slots. On engines of 16 slots, over two days of two bursts each, the
 * value served was 0.461 and 0.392 without this cost, 0.483 and 0.475 with it;
 * it changes nothing on engines of 64 and 128 slots.
 */
const FULL_SLOTS_MS = 200;
/** Slowdown in ms that each request in flight on a runner adds. */
const BATCH_SLOWDOWN_MS = 4;
/**
 * Milliseconds by which the wait for the awaited runner may exceed the wait for
 * another one. Each change of runner restarts the wait.
 */
const STAY_BONUS_MS = 100;
/** Cost in ms of each failure since the last success. */
const FAILURE_PENALTY_MS = 300;

/**
 * Weight of a ms of work by which a runner exceeds its share by pace: what one
 * request adds must be worth the fetch of its prompt to another runner.
 */
const EXCESS_WEIGHT = 6;
/**
 * Factor on the cost of a second copy where a request is moved for the sake of
 * balance: copies at the homes of a prompt serve more requests.
 */
const AWAY_COPY_FACTOR = 3;

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

/** Which part of a prompt runners have cached. */
export interface PrefixHoldings {
  /**
   * The runners that have prefilled most of the prompt, by software version: an
   * engine may not understand the memory of another version.
   */
  readonly holders: ReadonlyMap<string | undefined, PrefixHolder>;
  /** Most tokens of the prompt that any runner has prefilled or is about to. */
  readonly maxCachedTokens: number;
}

/** Finds which part of a prompt runners have cached. */
export function findPrefixHoldings(
  { prefixes, loads, boundsMemory, now }: RunnerFleet,
  { prompt, engine }: Demand,
  candidates: readonly Candidate[],
): PrefixHoldings {
  const holders = new Map<string | undefined, PrefixHolder>();
  let maxCachedTokens = 0;
  for (const { runner, cachedTokens } of candidates) {
    if (cachedTokens === 0) continue;
    maxCachedTokens = Math.max(maxCachedTokens, cachedTokens);
    const tokens = prefixes.fetchableTokens(runner.id, prompt, now);
    // An engine keeps a prompt in its memory while another one fetches it.
    const inUse = loads.of(runner.id).total.memoryTokens;
    const full = boundsMemory && inUse + tokens > engine!.memoryTokens;
    if (full) continue;
    const most = holders.get(runner.softwareVersion)?.tokens ?? 0;
    if (tokens > most) holders.set(runner.softwareVersion, { runner, tokens });
  }
  return { holders, maxCachedTokens };
}

/**
 * Returns the cost in ms, to the request or to others, of the wrong kind of
 * runner.
 */
function wrongPoolCostMs(
  demand: Demand,
  { speed, tight, reserved }: Candidate,
): number {
  if (tight) return reserved ? 0 : TIGHT_AMONG_LONG_MS;
  if (hasLongOutput(demand, speed)) return reserved ? 0 : LONG_OUTPUT_MS;
  return reserved ? LONG_AMONG_TIGHT_MS : 0;
}

/** Estimates the cost of placing a request on a runner. */
export function estimateCost(
  fleet: RunnerFleet,
  demand: Demand,
  options: {
    readonly candidate: Candidate;
    readonly homes: Homes;
    readonly holdings: PrefixHoldings;
    /** Speed of a mean runner of the service. */
    readonly meanSpeed: EngineSpeed;
  },
): CostEstimate {
  const { candidate, homes, holdings, meanSpeed } = options;
  const { runner, load, speed, tight, cachedTokens } = candidate;
  const { holders, maxCachedTokens } = holdings;
  const holder = holders.get(runner.softwareVersion);
  const missingTokens = holder === undefined ? 0 : holder.tokens - cachedTokens;
  const fetchMsPerToken = demand.engine!.fetchMsPerToken ?? Infinity;
  const fetchMs = missingTokens * fetchMsPerToken;
  const shouldFetch = missingTokens > 0 &&
    fetchMs < speed.prefillMs(missingTokens);
  const availableTokens = cachedTokens + (shouldFetch ? missingTokens : 0);
  const prefillTokens = Math.max(0, demand.promptTokens - availableTokens);
  const duplicatePrefillMs = speed.prefillMs(
    Math.max(0, maxCachedTokens - availableTokens),
  );
  // Time that this runner, and a mean one, takes for what takes one ms at the
  // assumed pace.
  const ownScale = speed.prefillMs(PREFILL_TOKENS_PER_MS);
  const meanShare = meanSpeed.chunkStepMs / speed.chunkStepMs;
  const meanScale = ownScale * meanShare;
  const { total } = load;
  const waitMs = speed.prefillMs(
    total.unreadTokens +
      load.queue.workAhead(demand.queueKey, fleet.now).unreadTokens,
  );
  const atHome = homes.names.has(runner.name);
  const copyFactor = homes.meanWork === undefined || atHome
    ? 1
    : AWAY_COPY_FACTOR;
  const penaltyMs = FETCH_PENALTY_MS * copyFactor;
  const ownPrefillMs = speed.prefillMs(prefillTokens) +
    (shouldFetch ? fetchMs + meanScale * penaltyMs : 0);
  const { meanWork } = homes;
  // A slow runner holds each request for longer than in proportion.
  const shareBound = 1 / Math.sqrt(meanShare);
  const excessMs = meanWork === undefined ? 0 : EXCESS_WEIGHT *
    speed.prefillMs(excessTokens(candidate, meanWork, shareBound));
  // Each home of a hot prompt needs a copy, if only by prefill.
  const copies = homes.hot && atHome && fetchMsPerToken === Infinity;
  const copyWeight = copies ? 0 : DUPLICATE_PREFILL_WEIGHT;
  const awayMs = atHome
    ? 0
    : holder === undefined
    ? AWAY_FROM_HOME_UNCACHED_MS
    : AWAY_FROM_HOME_MS;
  const wrongPoolMs = wrongPoolCostMs(demand, candidate);
  const delaysTight = !tight &&
    waitMs + ownPrefillMs > maxTightPrefillMs(speed);
  const tightDelayMs = delaysTight
    ? DELAYED_TIGHT_STREAM_MS * total.tightStreams
    : 0;
  const usedShare = total.inFlight / demand.engine!.slots;
  const batchMs = total.inFlight * BATCH_SLOWDOWN_MS +
    FULL_SLOTS_MS * usedShare ** 2;
  const stayBonusMs = demand.awaitedRunner === runner.id ? STAY_BONUS_MS : 0;
  const domainMs = fleet.demand === undefined
    ? 0
    : remoteMs(fleet, demand, runner);
  const prefillWeight = 1 + (PREFILL_WEIGHT - 1) * meanShare;
  const costMs = slowdownOf(runner) * (waitMs + prefillWeight * ownPrefillMs) +
    copyWeight * meanShare * duplicatePrefillMs + excessMs +
    meanScale * (awayMs + wrongPoolMs + tightDelayMs) + ownScale * batchMs +
    FAILURE_PENALTY_MS * load.failures - stayBonusMs + domainMs;
  return {
    runner,
    prefillTokens,
    fetchFrom: shouldFetch ? holder!.runner : undefined,
    costMs,
  };
}
