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
/** Parts of prompts whose runners are remembered, some 200 bytes each. */
const MAX_PARTS = 4_096;

/** Runners of one group, in an order for each part of a prompt. */
class Pool {
  readonly #members: Rendezvous;
  readonly #orders = new Map<string, readonly string[]>();

  constructor(names: readonly string[]) {
    this.#members = new Rendezvous(names);
  }

  order(part: string): readonly string[] {
    const known = this.#orders.get(part);
    if (known !== undefined) return known;
    if (this.#orders.size >= MAX_PARTS) this.#orders.clear();
    const order = this.#members.order(part);
    this.#orders.set(part, order);
    return order;
  }
}

/** The runners of a service at one revision of their list. */
export class RunnerPools {
  /** Names of the runners that are kept for tight streams. */
  readonly kept: ReadonlySet<string>;
  readonly #tight: Pool;
  readonly #others: Pool;

  constructor(runners: readonly Runner[]) {
    const names = runners.map(({ name }) => name);
    const count = names.length < 2
      ? 0
      : Math.max(1, Math.round(names.length * TIGHT_SHARE));
    this.kept = new Set(new Rendezvous(names).order("tight").slice(0, count));
    this.#tight = new Pool(names.filter((name) => this.kept.has(name)));
    this.#others = new Pool(names.filter((name) => !this.kept.has(name)));
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
    return pool.order(part).find((name) => options.usable.has(name));
  }
}

const known = new WeakMap<readonly Runner[], RunnerPools>();

/**
 * The pools of a list of runners, worked out once for each list: hashing the
 * names of 98 runners takes 0.4 ms, a tenth of the processor at 300 requests a
 * second.
 */
export function poolsOf(runners: readonly Runner[]): RunnerPools {
  const before = known.get(runners);
  if (before !== undefined) return before;
  const pools = new RunnerPools(runners);
  known.set(runners, pools);
  return pools;
}
