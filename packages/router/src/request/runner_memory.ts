/**
 * Memory of model engines: how much of it requests take.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import type { Engine } from "../version/configuration.ts";
import type { RequestHead } from "./dialect.ts";
import type { Demand, RunnerFleet } from "./demand.ts";

/** What a request states about its tokens. */
type StatedTokens = Pick<
  RequestHead,
  "prompt" | "promptTokens" | "maxOutputTokens"
>;

/**
 * Most tokens that a request takes in an engine's memory. One that states none
 * counts as an equal part of the memory by slots; one that states fewer than its
 * prompt parts have together counts with these.
 */
export function requestTokens(
  { prompt, promptTokens, maxOutputTokens }: StatedTokens,
  { memoryTokens, slots }: Pick<Engine, "memoryTokens" | "slots">,
): number {
  const parts = prompt.reduce((sum, { tokens }) => sum + tokens, 0);
  const stated = Math.max(promptTokens, parts) + maxOutputTokens;
  return stated > 0 ? stated : Math.ceil(memoryTokens / slots);
}

/** Whether no runner of the service could ever hold the request. */
export function exceedsMemory(stated: StatedTokens, engine: Engine): boolean {
  return requestTokens(stated, engine) > engine.memoryTokens;
}

/**
 * Whether a runner would hold more tokens than a share of its memory with the
 * request. Load that it answers: engines whose memory is full before their slots,
 * as with prompts of 17,020 tokens and 64 slots in 540,216 tokens; an engine
 * crashes if the requests that it holds exceed its memory.
 *
 * Counted are the requests of all daemons at the runner, those that wait for it
 * before this one, and those that the runner reports but no daemon does: loads of
 * daemons that are cut off, were lost, or have not reached this one yet. The last
 * two count with the mean size of the known ones. A request that is alone there may
 * use all memory, since it would never be sent otherwise.
 */
export function lacksMemory(
  fleet: RunnerFleet,
  demand: Demand,
  { runner, share }: { readonly runner: Runner; readonly share: number },
): boolean {
  const engine = demand.engine!;
  const load = fleet.loads.of(runner.id);
  const { inFlight, memoryTokens } = load.total;
  const own = requestTokens(demand, engine);
  const ahead = load.queue.workAhead(demand.queueKey, fleet.now);
  const unknown = load.unknownRequests(fleet.now);
  const mean = inFlight > 0 ? memoryTokens / inFlight : own;
  const others = memoryTokens + unknown * mean +
    Math.max(ahead.unreadTokens, ahead.requests * mean);
  const usable = others === 0 ? engine.memoryTokens : share *
    engine.memoryTokens;
  return others + own > usable;
}

/**
 * Returns the runners that have memory for a request; all of them where memory is
 * not bounded. Unlike admission, it holds nothing back for more urgent ranks.
 */
export function runnersWithMemory(
  fleet: RunnerFleet,
  demand: Demand,
  runners: readonly Runner[],
): readonly Runner[] {
  if (!fleet.boundsMemory || demand.engine === undefined) return runners;
  return runners.filter((runner) =>
    !lacksMemory(fleet, demand, { runner, share: 1 })
  );
}
