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

/**
 * Share of a request's time-out that its response may take on an engine that
 * prefills back to back. Beyond it, the wait for the first token leaves too
 * little time: in a burst, 20 of 100 long prompts had responses of over 150
 * tokens, and nearly all requests that hit their time-out of 8 s were among
 * them.
 */
const LONG_OUTPUT_SHARE = 0.75;
/** Margin for the steps between chunks, as a factor. */
const GAP_MARGIN = 1.25;
/**
 * Prefill in ms that streams with tight gap targets tolerate without a late
 * event: four chunks, so that an event of five tokens takes 170 ms of its 200.
 * With 100, fewer long prompts found a runner in a burst: 1,478 of 2,017 were
 * in time instead of 1,510.
 */
export const MAX_TIGHT_PREFILL_MS = 160;

/**
 * Whether the request is a tight stream: one with so short a target for the gaps
 * between its events that prefill chunks in the same batch exceed it. An event holds several tokens, and each of them takes a whole step.
 */
export function isTight(
  { pace, now }: Pick<RunnerFleet, "pace" | "now">,
  demand: Demand,
): boolean {
  const { engine, gapTargetMs } = demand;
  if (engine === undefined || gapTargetMs === undefined) return false;
  return gapTargetMs <= GAP_MARGIN * engine.eventTokens *
      pace.chunkStepMs(undefined, now);
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
): boolean {
  const { expectedOutputTokens, timeoutMs } = demand;
  if (expectedOutputTokens === undefined) return false;
  return expectedOutputTokens * pace.chunkStepMs(undefined, now) >
    LONG_OUTPUT_SHARE * timeoutMs;
}
