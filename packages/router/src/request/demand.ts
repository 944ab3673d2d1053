/**
 * The resource demand of a request, and the runners that may meet it.
 *
 * @module
 */
import type { PrefixIndex, PromptPart } from "../process/prefix_index.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerPace } from "../process/runner_pace.ts";
import type { RunnerRestrictions } from "../process/runner_restrictions.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import type { Engine } from "../version/configuration.ts";

/** Resources and latency that a request needs from a runner. */
export interface Demand {
  readonly prompt: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Tokens that the caller expects in the response, if it states them. */
  readonly expectedOutputTokens: number | undefined;
  /** Maximum milliseconds from the request to its final response. */
  readonly timeoutMs: number;
  readonly targetMs: number;
  readonly gapTargetMs: number | undefined;
  /** Position of the request among those that wait for the same runner. */
  readonly queueKey: QueueKey;
  /** Id of the runner that the request waits for. */
  readonly awaitedRunner: string | undefined;
  /** Number of less urgent ranks. */
  readonly lessUrgentRanks: number;
  /** Absent for a plain service. */
  readonly engine: Engine | undefined;
}

/** The runners of a service, and the state on which a selection is based. */
export interface RunnerFleet {
  readonly runners: readonly Runner[];
  readonly loads: RunnerLoads;
  readonly prefixes: PrefixIndex;
  readonly restrictions: RunnerRestrictions;
  /** How fast the runners are. */
  readonly pace: RunnerPace;
  /**
   * Shortest gap target of the streams to the service, Infinity without any;
   * undefined where pools are reserved for tight streams in any case.
   */
  readonly shortestGapMs?: number | undefined;
  /** Whether requests are sent only where engines have memory for them. */
  readonly boundsMemory?: boolean;
  /** Failure domain of this daemon. */
  readonly failureDomain: string;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/**
 * Share of a request's time-out that its response may take on an engine that
 * prefills back to back. Beyond it, the wait for the first token leaves too
 * little time: in a burst, 20 of 100 long prompts had responses of over 150
 * tokens, and nearly all requests that hit their time-out of 8 s were among
 * them.
 */
const LONG_OUTPUT_SHARE = 0.75;
/**
 * Minimum margin of a gap target, as a factor, for the steps between chunks. Where
 * hosts have slow moments, the margin allows for these. In a simulation of 21
 * uneven engines, of which 15 in 100 were 2.5 times slower for moments, 0.94 of
 * urgent streams kept their gaps at 1.6 times the usual load with 1.25, 0.95 with
 * 1.8, 0.98 with 2, 0.96 with 2.2 and 2.6.
 */
const GAP_MARGIN = 1.25;
/**
 * Steps with a chunk that streams with tight gap targets tolerate without a late
 * event: with four of 40 ms, an event of five tokens takes 170 ms of its 200.
 * With 100 ms instead of 160, fewer long prompts found a runner in a burst: 1,478
 * of 2,017 were in time instead of 1,510.
 */
const MAX_TIGHT_CHUNKS = 4;

/** Prefill in ms on a runner that delays no event of a tight stream too much. */
export function maxTightPrefillMs(
  { pace, now }: Pick<RunnerFleet, "pace" | "now">,
  runner: string,
): number {
  return MAX_TIGHT_CHUNKS * pace.chunkStepMs(runner, now);
}

/**
 * Whether the request is a tight stream: one with so short a target for the gaps
 * between its events that prefill chunks in the same batch exceed it. An event holds several tokens, and each of them takes a whole step.
 *
 * @param runner id of the runner; undefined for a mean one of the service.
 */
export function isTight(
  { pace, now }: Pick<RunnerFleet, "pace" | "now">,
  { engine, gapTargetMs }: Pick<Demand, "engine" | "gapTargetMs">,
  runner?: string,
): boolean {
  if (engine === undefined || gapTargetMs === undefined) return false;
  const margin = Math.max(GAP_MARGIN, pace.slowMomentFactor?.(now) ?? 1);
  return gapTargetMs <= margin * engine.eventTokens *
      pace.chunkStepMs(runner, now);
}

/**
 * Whether an event of the stream takes longer than its gap target on a runner
 * that prefills in each step.
 */
export function missesGaps(
  { pace, now }: Pick<RunnerFleet, "pace" | "now">,
  { engine, gapTargetMs }: Demand,
  runner: string,
): boolean {
  if (engine === undefined || gapTargetMs === undefined) return false;
  return engine.eventTokens * pace.chunkStepMs(runner, now) > gapTargetMs;
}

/**
 * Whether a response would hardly finish in time on an engine that prefills
 * back to back, where each token takes a step with a chunk. The caller's
 * expectation is right at the median and often far off, so it only decides
 * between runners.
 */
export function hasLongOutput(
  { pace, now }: Pick<RunnerFleet, "pace" | "now">,
  demand: Demand,
  runner: string,
): boolean {
  const { expectedOutputTokens, timeoutMs } = demand;
  if (expectedOutputTokens === undefined) return false;
  return expectedOutputTokens * pace.chunkStepMs(runner, now) >
    LONG_OUTPUT_SHARE * timeoutMs;
}
