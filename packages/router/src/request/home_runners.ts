/**
 * Home runners of prompts, and how evenly work is spread over runners.
 *
 * @module
 */
import type { Candidate } from "./candidate.ts";
import type { RunnerFleet } from "./demand.ts";
import type { RunnerPools } from "./runner_pools.ts";

/**
 * Work of a runner relative to its share by pace beyond which it is home for no
 * prompt while others have room.
 */
const LOAD_BOUND = 1.25;

/** The home runners of a prompt, and the load up to which work is to be spread. */
export interface Homes {
  /** Names of the home runners. */
  readonly names: ReadonlySet<string>;
  /** Whether the prompt is hot, so that each home is to hold a copy of it. */
  readonly hot: boolean;
  /**
   * Mean work of runners in prompt tokens; undefined where the request is not to
   * be moved for the sake of balance.
   */
  readonly meanWork: MeanWork | undefined;
}

/** Mean work of runners in flight, in prompt tokens. */
export interface MeanWork {
  readonly common: number;
  readonly reserved: number;
}

/**
 * Finds the home runners of a prompt. Where the demand of the service is known,
 * a hot prompt has several of them, and a runner that has more than its share of
 * the work is passed over.
 *
 * Answers one prompt that draws 0.29 of a kind's requests, and engines that take
 * 2.4 times as long as others: the busiest one had 1.5 to 2.6 times the mean work.
 *
 * @param part shared part of the prompt.
 */
export function homesOf(
  { demand: known, now }: RunnerFleet,
  part: string,
  options: {
    readonly candidates: readonly Candidate[];
    readonly pools: RunnerPools;
    /** Whether the request is a tight stream. */
    readonly tight: boolean;
  },
): Homes {
  const { candidates, pools, tight } = options;
  if (known === undefined) {
    const usable = new Set(candidates.map(({ runner }) => runner.name));
    const home = pools.home(part, { tight, usable });
    const names = new Set(home === undefined ? [] : [home]);
    return { names, hot: false, meanWork: undefined };
  }
  const meanWork = meanWorkOf(candidates);
  const homeShare = LOAD_BOUND / pools.sizeOf(tight);
  const count = known.prompts.homes(part, homeShare, now);
  // Only few runners are looked up, so that a map of all would take longer.
  const find = (name: string) =>
    candidates.find(({ runner }) => runner.name === name);
  const hasRoom = (name: string) => {
    const candidate = find(name);
    return candidate !== undefined &&
      excessTokens(candidate, meanWork, LOAD_BOUND) === 0;
  };
  const roomy = pools.homes(part, { tight, count, accepts: hasRoom });
  const isUsable = (name: string) => find(name) !== undefined;
  const names = roomy.length > 0
    ? roomy
    : pools.homes(part, { tight, count, accepts: isUsable });
  // A tight stream goes where its events keep their pause.
  const movable = candidates.every((candidate) => !candidate.tight);
  return {
    names: new Set(names),
    hot: count > 1,
    meanWork: movable ? meanWork : undefined,
  };
}

/**
 * Work in prompt tokens by which a runner exceeds a multiple of the mean. Equal
 * work in flight is the share by pace of a runner, which holds each request for as
 * much longer as it is slower.
 */
export function excessTokens(
  { load, reserved }: Candidate,
  mean: MeanWork,
  bound: number,
): number {
  const meanTokens = reserved ? mean.reserved : mean.common;
  return Math.max(0, load.total.workTokens - bound * meanTokens);
}

function meanWorkOf(candidates: readonly Candidate[]): MeanWork {
  let common = 0;
  let reserved = 0;
  let reservedCount = 0;
  for (const { load, reserved: isReserved } of candidates) {
    const { workTokens } = load.total;
    if (isReserved) {
      reserved += workTokens;
      reservedCount += 1;
    } else common += workTokens;
  }
  const commonCount = candidates.length - reservedCount;
  return {
    common: common / Math.max(1, commonCount),
    reserved: reserved / Math.max(1, reservedCount),
  };
}
