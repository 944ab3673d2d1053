/**
 * Admission control: whether a runner has capacity for another request of a
 * rank.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import type { Candidate } from "./candidate.ts";
import { maxTightPrefillMs } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import { lacksMemory } from "./runner_memory.ts";

/**
 * Work in flight on a runner, in ms of prefill, up to which requests of the
 * least urgent rank are admitted.
 */
const MAX_WORK_MS = 4_000;
/** Share of a runner's slots and memory that the least urgent rank may use. */
const FILL_SHARE = 0.6;
/** Additional share for each more urgent rank. */
const FILL_SHARE_PER_RANK = 0.2;
/**
 * Prefill in ms that may be ahead of a request of the least urgent rank when it
 * starts. Engines prefill admitted prompts in order, whatever their ranks, so
 * this bounds the wait of an urgent request.
 */
const MAX_BACKLOG_MS = 600;
/** Factor by which the work limits grow for each more urgent rank. */
const WORK_FACTOR_PER_RANK = 1.6;

/**
 * Number of less urgent ranks beyond which the limits of a request grow no further.
 * Three classes in each of two tiers of workspaces make six ranks; 1.6 to the fifth
 * power would allow the most urgent one ten times the backlog of the least urgent
 * one.
 */
const MAX_RANK_STEPS = 2;

/**
 * Returns the factor by which a request's limits exceed those of the least
 * urgent rank.
 */
export function urgencyFactor(lessUrgentRanks: number): number {
  return WORK_FACTOR_PER_RANK ** Math.min(MAX_RANK_STEPS, lessUrgentRanks);
}

/**
 * Whether a runner has so much work that one more request of this rank would
 * keep the requests in flight from finishing. Requests ahead in the runner's
 * queue count like requests in flight, with their prefill and the slots that
 * they will take. When the slots did not count, a slot that became free drew a
 * request from each of 16 daemons; an engine of 16 slots had 23 requests, and
 * preempted the least urgent ones in the middle of their streams.
 *
 * While an engine prefills prompts back to back, streams get one token per step
 * of 40 ms instead of 6 ms; those that need hundreds of tokens then time out,
 * and all the work on them is lost. With less work in flight, prefill pauses
 * and they finish. Slots and memory are held back for more urgent ranks, which
 * would otherwise wait seconds for streams to end, or preempt them.
 */
export function isOverloaded(
  fleet: RunnerFleet,
  demand: Demand,
  runner: Runner,
): boolean {
  const load = fleet.loads.of(runner.id);
  const { workTokens, unreadTokens, inFlight, memoryTokens } = load.total;
  const ahead = load.queue.workAhead(demand.queueKey, fleet.now);
  const { engine, lessUrgentRanks } = demand;
  const steps = Math.min(MAX_RANK_STEPS, lessUrgentRanks);
  const share = Math.min(1, FILL_SHARE + FILL_SHARE_PER_RANK * steps);
  const neededTokens = memoryTokens + demand.promptTokens +
    demand.maxOutputTokens;
  const factor = urgencyFactor(lessUrgentRanks);
  const speed = fleet.pace.engineSpeed(runner.id, fleet.now);
  const backlogTokens = unreadTokens + ahead.unreadTokens;
  return speed.prefillMs(workTokens) > MAX_WORK_MS * factor ||
    speed.prefillMs(backlogTokens) > MAX_BACKLOG_MS * factor ||
    inFlight + ahead.requests >= share * engine!.slots ||
    (fleet.boundsMemory
      ? lacksMemory(fleet, demand, { runner, share })
      : neededTokens > share * engine!.memoryTokens);
}

/**
 * Whether a long prompt would delay the tight streams on a runner reserved for
 * them. In a burst, when all other runners are full, long prompts would
 * otherwise fill the reserved runners too, and urgent streams would wait for
 * seconds behind them.
 */
export function delaysTightStreams(
  { promptTokens }: Demand,
  { load, speed, cachedTokens }: Candidate,
): boolean {
  const { tightStreams, unreadTokens } = load.total;
  if (tightStreams === 0) return false;
  const tokens = unreadTokens + promptTokens - cachedTokens;
  return speed.prefillMs(tokens) > maxTightPrefillMs(speed);
}
