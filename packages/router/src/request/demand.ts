/**
 * What a request asks of a fleet of runners.
 *
 * @module
 */
import type { PrefixIndex, PromptPart } from "../process/prefix_index.ts";
import type { Runner } from "../process/runner.ts";
import type { RunnerLimits } from "../process/runner_limits.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import type { Engine } from "../version/configuration.ts";

/** What a request asks of a runner. */
export interface Demand {
  readonly prompt: readonly PromptPart[];
  readonly promptTokens: number;
  /** Most tokens of the answer. */
  readonly answerTokens: number;
  /** Tokens of the answer that the caller expects, if it says so. */
  readonly expectedTokens: number | undefined;
  /** Milliseconds from the request to its final answer, at most. */
  readonly timeoutMs: number;
  readonly targetMs: number;
  readonly gapTargetMs: number | undefined;
  /** Where it stands among requests that wait for the same runner. */
  readonly queueKey: QueueKey;
  /** Id of the runner that it waits for. */
  readonly awaitedRunner: string | undefined;
  /** Kinds of requests that are less urgent. */
  readonly ranksBelow: number;
  /** Absent for a plain service. */
  readonly engine: Engine | undefined;
}

/** What a choice is made from. */
export interface RunnerFleet {
  readonly runners: readonly Runner[];
  readonly loads: RunnerLoads;
  readonly prefixes: PrefixIndex;
  readonly limits: RunnerLimits;
  /** Failure domain of this daemon. */
  readonly failureDomain: string;
  /** Steady milliseconds. */
  readonly now: number;
}

/**
 * Milliseconds of one engine step that also reads a chunk of a prompt: 2,048
 * tokens at 62 tokens a ms, and a share for attention to what was read.
 */
const CHUNK_STEP_MS = 40;
/**
 * Part of a request's time that an answer may take where an engine reads prompts
 * without pause. Beyond it, the wait for the first token leaves too little: in
 * a burst 20 in 100 long prompts had answers of over 150 tokens, and nearly all
 * that ran into their timeout of 8 s were among them.
 */
const LONG_ANSWER_SHARE = 0.75;
/** Room for the steps between chunks, as a factor. */
const GAP_ROOM = 1.25;
/**
 * Reading in ms that streams with tight gaps bear without a late event: four
 * chunks, so that an event of five tokens takes 170 ms of its 200. With 100
 * fewer long prompts found a runner in a burst: 1,478 of 2,017 in time instead
 * of 1,510.
 */
export const MAX_TIGHT_PREFILL_MS = 160;

/**
 * Whether chunks of prompts beside a stream make its gaps too long. An event
 * holds several tokens, and each takes a whole step.
 */
export function isTight(demand: Demand): boolean {
  const { engine, gapTargetMs } = demand;
  if (engine === undefined || gapTargetMs === undefined) return false;
  return gapTargetMs <= GAP_ROOM * engine.eventTokens * CHUNK_STEP_MS;
}

/**
 * Whether an answer would hardly end in time where prompts are read without
 * pause, and each token takes a step with a chunk. What callers expect is right
 * in the middle and often far off; it only decides between runners.
 */
export function hasLongOutput(demand: Demand): boolean {
  const { expectedTokens, timeoutMs } = demand;
  if (expectedTokens === undefined) return false;
  return expectedTokens * CHUNK_STEP_MS > LONG_ANSWER_SHARE * timeoutMs;
}
