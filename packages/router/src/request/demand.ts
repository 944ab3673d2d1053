/**
 * The resource demand of a request, and the runners that may meet it.
 *
 * @module
 */
import type { PrefixIndex, PromptPart } from "../process/prefix_index.ts";
import type { Runner } from "../process/runner.ts";
import type { EngineSpeed, RunnerPace } from "../process/runner_pace.ts";
import type { ServiceDemand } from "../process/service_demand.ts";
import type { RunnerRestrictions } from "../process/runner_restrictions.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import type { Engine } from "../version/configuration.ts";
import type { PlainState } from "./plain_admission.ts";

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
  /** Milliseconds that the request has waited for it. */
  readonly waitedMs?: number;
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
  /** What is known of the service's demand, where it is scheduled adaptively. */
  readonly demand?: ServiceDemand | undefined;
  /** Whether requests are sent only where engines have memory for them. */
  readonly boundsMemory?: boolean;
  /** Failure domain of this daemon. */
  readonly failureDomain: string;
  /**
   * What is observed of a plain service that is scheduled adaptively; absent
   * for all other services.
   */
  readonly plain?: PlainState | undefined;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** Number of requests of all daemons that are at the runners. */
export function requestsInFlight(
  { runners, loads }: Pick<RunnerFleet, "runners" | "loads">,
): number {
  return runners.reduce(
    (sum, { id }) => sum + loads.of(id).total.inFlight,
    0,
  );
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
 * hosts have slow moments, the margin allows for these: they are too short to be
 * avoided, and streams last longer.
 */
const GAP_MARGIN = 1.25;
/**
 * Steps with a chunk that streams with tight gap targets tolerate without a late
 * event: with four of 40 ms, an event of five tokens takes 170 ms of its 200.
 * Fewer would keep more long prompts from a runner in a burst.
 */
const MAX_TIGHT_CHUNKS = 4;

/** Prefill in ms on a runner that delays no event of a tight stream too much. */
export function maxTightPrefillMs({ chunkStepMs }: EngineSpeed): number {
  return MAX_TIGHT_CHUNKS * chunkStepMs;
}

/**
 * Margin of the gap target of a stream, as a factor. Until steps with a chunk are
 * known, the streams with the shortest gap target of the service count as tight
 * at any runner: in the first seconds of a burst their events were late on
 * engines whose steps take more than twice the assumed time.
 */
export function gapMargin(
  { pace, shortestGapMs, now }: Pick<
    RunnerFleet,
    "pace" | "shortestGapMs" | "now"
  >,
  { gapTargetMs }: Pick<Demand, "gapTargetMs">,
): number {
  const unknown = pace.knowsChunkSteps === false;
  if (unknown && shortestGapMs !== Infinity && gapTargetMs === shortestGapMs) {
    return Infinity;
  }
  return Math.max(GAP_MARGIN, pace.slowMomentFactor?.(now) ?? 1);
}

/**
 * Whether the request is a tight stream: one with so short a target for the gaps
 * between its events that prefill chunks in the same batch exceed it. An event
 * holds several tokens, and each of them takes a whole step.
 *
 * @param margin of gap targets; see {@linkcode gapMargin}.
 */
export function isTight(
  { engine, gapTargetMs }: Pick<Demand, "engine" | "gapTargetMs">,
  margin: number,
  { chunkStepMs }: EngineSpeed,
): boolean {
  if (engine === undefined || gapTargetMs === undefined) return false;
  return gapTargetMs <= margin * engine.eventTokens * chunkStepMs;
}

/**
 * Whether an event of the stream takes longer than its gap target on a runner
 * that prefills in each step.
 */
export function missesGaps(
  { engine, gapTargetMs }: Demand,
  { chunkStepMs }: EngineSpeed,
): boolean {
  if (engine === undefined || gapTargetMs === undefined) return false;
  return engine.eventTokens * chunkStepMs > gapTargetMs;
}

/**
 * Whether a response would hardly finish in time on an engine that prefills
 * back to back, where each token takes a step with a chunk. The caller's
 * expectation is right at the median and often far off, so it only decides
 * between runners.
 */
export function hasLongOutput(
  { expectedOutputTokens, timeoutMs }: Demand,
  { chunkStepMs }: EngineSpeed,
): boolean {
  if (expectedOutputTokens === undefined) return false;
  return expectedOutputTokens * chunkStepMs > LONG_OUTPUT_SHARE * timeoutMs;
}
