/**
 * The runners that exist, as the platform lists them.
 *
 * @module
 */

import { groupBy } from "./group.ts";
import { isLate, LateEntries } from "./late_entries.ts";
import { runnerId } from "./runner.ts";
import type { Runner } from "./runner.ts";

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
  readonly #late = new LateEntries((runner) => this.#accept(runner));
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
    const known = this.#byName();
    this.#late.clear();
    const runners = list.runners.map((each) => this.#newest(known, each));
    this.#set({ revision: list.revision, runners });
    return true;
  }

  /** Takes what changed up to a revision. */
  change(
    revision: number,
    entered: readonly Runner[],
    left: readonly string[],
  ): void {
    if (revision <= this.#list.revision) return;
    const runners = this.#byName();
    for (const name of left) {
      runners.delete(name);
      this.#late.forget(name);
    }
    for (const runner of entered) {
      runners.set(runner.name, this.#newest(runners, runner));
    }
    this.#set({ revision, runners: [...runners.values()] });
  }

  /**
   * Takes what a runner says itself of its start, which may be known sooner than
   * its new entry: the store may be down, or this daemon cut off from it.
   */
  startedAt(name: string, startedAtMs: number): void {
    const known = this.#byName().get(name);
    if (known === undefined) return;
    const runner = { ...known, id: runnerId(name, startedAtMs), startedAtMs };
    if (runner.id === known.id || isLate(runner, known)) return;
    this.#accept(runner);
  }

  /** Runners of a service that take new work. */
  ready(service: string): readonly Runner[] {
    return this.#byService.get(service) ?? [];
  }

  #byName(): Map<string, Runner> {
    return new Map(this.#list.runners.map((each) => [each.name, each]));
  }

  /** The entry to use: not one of an earlier life that comes late. */
  #newest(known: ReadonlyMap<string, Runner>, entry: Runner): Runner {
    const current = known.get(entry.name);
    this.#late.forget(entry.name);
    if (current === undefined || !isLate(entry, current)) return entry;
    this.#late.hold(entry);
    return current;
  }

  #accept(runner: Runner): void {
    const { revision, runners } = this.#list;
    this.#set({
      revision,
      runners: runners.map((each) => each.name === runner.name ? runner : each),
    });
  }

  #set(list: RunnerList): void {
    this.#list = list;
    const ready = list.runners.filter(({ draining }) => !draining);
    this.#byService = groupBy(ready, ({ service }) => service);
    for (const listener of this.#changed) listener();
  }
}
