/**
 * Assigns the runners of a service to pools, and prompts to home runners: the runner
 * on which all daemons prefer to place a prompt, because it is cached there.
 *
 * @module
 */
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import type { Runner } from "../process/runner.ts";

/** Share of a service's runners reserved for streams with tight gap targets. */
export const TIGHT_SHARE = 0.3;
/**
 * Maximum number of cached pools, one for each set of runner names. A service
 * uses one at a time.
 */
const MAX_POOLS = 16;

/** The pools of a service's runners while no runner is added or removed. */
export class RunnerPools {
  /** Names of the runners reserved for tight streams. */
  readonly reserved: ReadonlySet<string>;
  /**
   * Names of the runners on which only prompts that delay no tight stream are
   * prefilled: the reserved ones, and those that still have tight streams from
   * the time when they were reserved.
   */
  readonly guarded: ReadonlySet<string>;
  readonly #tight: Rendezvous;
  readonly #others: Rendezvous;
  readonly #otherCount: number;
  readonly #speedOf: ReadonlyMap<string, number> | undefined;

  /**
   * @param names of the runners, without duplicates.
   * @param options.reserved names of the runners reserved for tight streams.
   * @param options.leaving names of those that were, and have tight streams yet.
   * @param options.speedOf relative speed of each runner, where they differ: it is
   * home for a share of the prompts that is proportional to it.
   */
  constructor(names: readonly string[], options: {
    readonly reserved: readonly string[];
    readonly leaving?: readonly string[];
    readonly speedOf?: ReadonlyMap<string, number>;
  }) {
    const { reserved, leaving = [], speedOf } = options;
    this.#speedOf = speedOf;
    this.reserved = new Set(reserved);
    this.guarded = leaving.length === 0
      ? this.reserved
      : new Set([...reserved, ...leaving]);
    const others = names.filter((name) => !this.reserved.has(name));
    const weightOf = speedOf && ((name: string) => speedOf.get(name)!);
    this.#tight = new Rendezvous(reserved, weightOf);
    this.#others = new Rendezvous(others, weightOf);
    this.#otherCount = others.length;
  }

  /**
   * Returns the name of the home runner of a prompt part: the first usable one
   * in an order that is the same at every daemon. The order depends on names
   * only, so a restart under the same name moves no prompt to another home
   * runner.
   */
  home(
    part: string,
    options: {
      readonly tight: boolean;
      readonly usable: ReadonlySet<string>;
    },
  ): string | undefined {
    return this.#pool(options.tight)
      .first(part, (name) => options.usable.has(name));
  }

  /** Returns the first home runners of a prompt part that are accepted. */
  homes(part: string, options: {
    readonly tight: boolean;
    readonly count: number;
    readonly accepts: (name: string) => boolean;
  }): readonly string[] {
    const { tight, count, accepts } = options;
    return this.#pool(tight).firstOf(part, count, accepts);
  }

  /**
   * Whether pools of runners with these speeds would be the same.
   *
   * @param options.leaving names of guarded runners that have tight streams.
   */
  fits({ size, speedOf, leaving }: {
    /** Number of reserved runners. */
    readonly size: number;
    readonly speedOf: ReadonlyMap<string, number>;
    readonly leaving: readonly string[];
  }): boolean {
    const known = this.#speedOf;
    if (known === undefined || known.size !== speedOf.size) return false;
    if (this.reserved.size !== size) return false;
    for (const [name, speed] of speedOf) {
      if (known.get(name) !== speed) return false;
    }
    const count = leaving.filter((name) => !this.reserved.has(name)).length;
    return this.guarded.size === size + count;
  }

  /** Number of runners among which the homes of a prompt are. */
  sizeOf(tight: boolean): number {
    return tight && this.reserved.size > 0
      ? this.reserved.size
      : this.#otherCount;
  }

  #pool(tight: boolean): Rendezvous {
    return tight && this.reserved.size > 0 ? this.#tight : this.#others;
  }
}

/**
 * Order in which runners are reserved for tight streams: daemons that reserve
 * different numbers of them agree on most.
 */
export function reserveOrder(names: readonly string[]): readonly string[] {
  return new Rendezvous(names).order("tight");
}

/** Largest number of runners that are reserved for tight streams. */
export function maxReserved(count: number): number {
  return count < 2 ? 0 : Math.max(1, Math.round(count * TIGHT_SHARE));
}

const poolsByList = {
  reserved: new WeakMap<readonly Runner[], RunnerPools>(),
  common: new WeakMap<readonly Runner[], RunnerPools>(),
};
const poolsByNames = new Map<string, RunnerPools>();

/**
 * Returns the pools of a list of runners, computed once for each set of names.
 * A list changes many times a second while runners start or are replaced,
 * mostly because a runner reports a change of its own state. Computed for each
 * list, the pools of a thousand runners would take most of a daemon's processor
 * time in the seconds after a loss of all daemons, when all callers reconnect.
 *
 * @param reserve whether to reserve runners for tight streams.
 */
export function poolsOf(
  runners: readonly Runner[],
  reserve = true,
): RunnerPools {
  const byList = reserve ? poolsByList.reserved : poolsByList.common;
  const cached = byList.get(runners);
  if (cached !== undefined) return cached;
  const names = runners.map(({ name }) => name).sort();
  const key = [String(reserve), ...names].join("\n");
  const pools = poolsByNames.get(key) ??
    remember(
      key,
      new RunnerPools(names, {
        reserved: reserve
          ? reserveOrder(names).slice(0, maxReserved(names.length))
          : [],
      }),
    );
  byList.set(runners, pools);
  return pools;
}

function remember(key: string, pools: RunnerPools): RunnerPools {
  if (poolsByNames.size >= MAX_POOLS) poolsByNames.clear();
  poolsByNames.set(key, pools);
  return pools;
}
