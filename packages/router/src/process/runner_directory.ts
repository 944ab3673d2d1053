/**
 * The runners that exist, as the platform lists them.
 *
 * @module
 */

import { groupBy } from "./group.ts";

/** One life of a runner: a restart has another id. */
export interface Runner {
  readonly id: string;
  readonly service: string;
  /** IP address. */
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Whether it is about to leave and takes nothing new. */
  readonly draining: boolean;
  /** Milliseconds for which it is still slow after its start. */
  readonly warmUpMs: number;
}

/** All runners at one revision of the platform's store. */
export interface RunnerList {
  readonly revision: number;
  readonly runners: readonly Runner[];
}

/**
 * Holds the newest list and tells which runners may get work. A list is only
 * ever followed by a newer one, whether it came from the store or a peer, so
 * a runner that was seen to leave does not come back by an older list.
 */
export class RunnerDirectory {
  readonly #changed: (() => void)[] = [];
  #list: RunnerList = { revision: 0, runners: [] };
  #byService: ReadonlyMap<string, readonly Runner[]> = new Map();

  /** Revision of the store that the list is from; 0 when there is none. */
  get revision(): number {
    return this.#list.revision;
  }

  /** The list, for peers. */
  get list(): RunnerList {
    return this.#list;
  }

  /** Calls `listener` after each change. */
  onChange(listener: () => void): void {
    this.#changed.push(listener);
  }

  /** Takes a whole list; one that is not newer changes nothing. */
  replace(list: RunnerList): boolean {
    if (list.revision <= this.#list.revision) return false;
    this.#set(list);
    return true;
  }

  /** Takes what changed up to a revision. */
  change(
    revision: number,
    entered: readonly Runner[],
    left: readonly string[],
  ): void {
    if (revision <= this.#list.revision) return;
    const runners = new Map(this.#list.runners.map((each) => [each.id, each]));
    for (const id of left) runners.delete(id);
    for (const runner of entered) runners.set(runner.id, runner);
    this.#set({ revision, runners: [...runners.values()] });
  }

  /** Runners of a service that take new work. */
  ready(service: string): readonly Runner[] {
    return this.#byService.get(service) ?? [];
  }

  #set(list: RunnerList): void {
    this.#list = list;
    const ready = list.runners.filter(({ draining }) => !draining);
    this.#byService = groupBy(ready, ({ service }) => service);
    for (const listener of this.#changed) listener();
  }
}
