/**
 * Whether a runner has room for one more request of a rank.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import { prefillMs } from "../process/prefill_time.ts";
import { MAX_TIGHT_PREFILL_MS } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";

/** Work in ms that a runner may have in flight when the least urgent start. */
const MAX_WORK_MS = 4_000;
/** Part of a runner's slots and memory that the least urgent may fill. */
const FILL_SHARE = 0.6;
/** How much more of them each more urgent rank may fill. */
const FILL_BY_RANK = 0.2;
/**
 * Reading in ms that may be ahead of the least urgent when it starts. Engines
 * read the prompts that they have admitted in turn, whatever their ranks, so
 * this bounds what an urgent request waits for.
 */
const MAX_BACKLOG_MS = 600;
/** How much more it may have for each rank that a request is more urgent. */
const WORK_BY_RANK = 1.6;

/**
 * Ranks beyond which a more urgent request gets no more: three classes in each of
 * two tiers of workspaces make six ranks, and 1.6 to the fifth is ten backlogs.
 */
const MAX_STEPS = 2;

/** How much more of what is scarce a request may take than the least urgent. */
export function urgencyFactor(ranksBelow: number): number {
  return WORK_BY_RANK ** Math.min(MAX_STEPS, ranksBelow);
}

/**
 * Whether a runner already works on so much that one more request of this rank
 * would keep those that are there from their ends. Requests that wait for it and
 * go before count like those that are there: their reading, and the slots that
 * they will take. Without the latter a slot that became free drew a request from
 * each of 16 daemons; an engine of 16 slots had 23 requests, and the least
 * urgent were put out again in the middle of their streams.
 *
 * While an engine reads prompts without pause, streams get one token a step of
 * 40 ms instead of 6; those that need hundreds then run into their timeouts,
 * and all the work on them is lost. With less in flight, reading pauses and
 * they end. Slots and memory are kept back for more urgent ranks, which would
 * otherwise wait for streams of seconds to end, or preempt them.
 */
export function isOverloaded(
  fleet: RunnerFleet,
  demand: Demand,
  runner: Runner,
): boolean {
  const load = fleet.loads.of(runner.id);
  const { workTokens, unreadTokens, inFlight, memoryTokens } = load.total;
  const ahead = load.queue.workAhead(demand.queueKey, fleet.now);
  const { engine, ranksBelow } = demand;
  const above = Math.min(MAX_STEPS, ranksBelow);
  const share = Math.min(1, FILL_SHARE + FILL_BY_RANK * above);
  const memory = memoryTokens + demand.promptTokens + demand.answerTokens;
  const more = urgencyFactor(ranksBelow);
  return prefillMs(workTokens) > MAX_WORK_MS * more ||
    prefillMs(unreadTokens + ahead.unreadTokens) > MAX_BACKLOG_MS * more ||
    inFlight + ahead.requests >= share * engine!.slots ||
    memory > share * engine!.memoryTokens;
}

/**
 * Whether a long prompt would make streams with tight gaps late that are at a
 * runner which is kept for them. In a burst, when all other runners are full,
 * long prompts would otherwise fill these too, and urgent streams would wait
 * for seconds behind them.
 */
export function delaysTightStreams(
  fleet: RunnerFleet,
  demand: Demand,
  runner: Runner,
): boolean {
  const { tight, unreadTokens } = fleet.loads.of(runner.id).total;
  if (tight === 0) return false;
  const { prompt, promptTokens } = demand;
  const cached = fleet.prefixes.cachedTokens(runner.id, prompt, fleet.now);
  return prefillMs(unreadTokens + promptTokens - cached) > MAX_TIGHT_PREFILL_MS;
}
