/**
 * The runners among which a request chooses.
 *
 * @module
 */
import type { Runner } from "../process/runner.ts";
import type { RunnerLoad } from "../process/runner_load.ts";
import type { EngineSpeed } from "../process/runner_pace.ts";
import { gapMargin, isTight } from "./demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import type { RunnerPools } from "./runner_pools.ts";

/**
 * An engine that may get a request, with what several steps of a choice need of
 * it. It holds for one moment.
 */
export interface Candidate {
  readonly runner: Runner;
  readonly load: RunnerLoad;
  readonly speed: EngineSpeed;
  /** Leading tokens of the prompt that it need not prefill again. */
  readonly cachedTokens: number;
  /** Whether the request is a tight stream there. */
  readonly tight: boolean;
  /** Whether it is reserved for tight streams. */
  readonly reserved: boolean;
  /** Whether only prompts that delay no tight stream are prefilled there. */
  readonly guarded: boolean;
}

/** Collects what a choice needs of each runner. */
export function candidatesOf(
  fleet: RunnerFleet,
  demand: Demand,
  options: {
    readonly runners: readonly Runner[];
    readonly pools: RunnerPools;
  },
): readonly Candidate[] {
  const { loads, pace, prefixes, now } = fleet;
  const { reserved, guarded } = options.pools;
  const margin = gapMargin(fleet, demand);
  return options.runners.map((runner) => {
    const { id, name } = runner;
    const speed = pace.engineSpeed(id, now);
    return {
      runner,
      load: loads.of(id),
      speed,
      cachedTokens: prefixes.cachedTokens(id, demand.prompt, now),
      tight: isTight(demand, margin, speed),
      reserved: reserved.has(name),
      guarded: guarded.has(name),
    };
  });
}
