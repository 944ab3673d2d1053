/**
 * Which runners of a service are kept for tight streams, and where prompts are
 * at home.
 *
 * @module
 */
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import type { Runner } from "../process/runner.ts";

/** Part of a service's runners that serve streams with tight gaps. */
const TIGHT_SHARE = 0.3;
/** Sets of runners whose pools are remembered; a service has one at a time. */
const MAX_POOLS = 16;

/** The runners of a service while none of them comes or goes. */
export class RunnerPools {
  /** Names of the runners that are kept for tight streams. */
  readonly reserved: ReadonlySet<string>;
  readonly #tight: Rendezvous;
  readonly #others: Rendezvous;

  /** @param names of the runners, each once. */
  constructor(names: readonly string[]) {
    const count = names.length < 2
      ? 0
      : Math.max(1, Math.round(names.length * TIGHT_SHARE));
    this.reserved = new Set(
      new Rendezvous(names).order("tight").slice(0, count),
    );
    const others = names.filter((name) => !this.reserved.has(name));
    this.#tight = new Rendezvous([...this.reserved]);
    this.#others = new Rendezvous(others);
  }

  /**
   * Name of the runner at which a part of a prompt is at home: the first usable
   * one in an order that is the same at every daemon. Names decide, so that a
   * restart under the same name changes nobody's home.
   */
  home(
    part: string,
    options: {
      readonly tight: boolean;
      readonly usable: ReadonlySet<string>;
    },
  ): string | undefined {
    const pool = options.tight ? this.#tight : this.#others;
    return pool.first(part, (name) => options.usable.has(name));
  }
}

const ofList = new WeakMap<readonly Runner[], RunnerPools>();
const ofNames = new Map<string, RunnerPools>();

/**
 * The pools of a list of runners, worked out once for each set of names. A list
 * changes many times a second while runners start or are replaced, mostly by what
 * one of them tells of itself. Worked out for each list, the pools of a thousand
 * runners would take most of a daemon's processor in the seconds after a loss of
 * all daemons, when all callers come back.
 */
export function poolsOf(runners: readonly Runner[]): RunnerPools {
  const before = ofList.get(runners);
  if (before !== undefined) return before;
  const names = runners.map(({ name }) => name).sort();
  const key = names.join("\n");
  const pools = ofNames.get(key) ?? remembered(key, new RunnerPools(names));
  ofList.set(runners, pools);
  return pools;
}

function remembered(key: string, pools: RunnerPools): RunnerPools {
  if (ofNames.size >= MAX_POOLS) ofNames.clear();
  ofNames.set(key, pools);
  return pools;
}
