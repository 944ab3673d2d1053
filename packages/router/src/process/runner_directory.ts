/**
 * The runners that exist, as the platform lists them.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import { groupBy } from "./group.ts";
import { isStale, StaleEntries } from "./stale_entries.ts";
import { runnerId } from "./runner.ts";
import type { Runner } from "./runner.ts";

/** All runners at one revision of the platform's store. */
export interface RunnerList {
  readonly revision: number;
  readonly runners: readonly Runner[];
}

/** What is new since an earlier revision, or everything. */
export interface RunnerListUpdate extends RunnerList {
  /** Whether `runners` are all that there are. */
  readonly whole: boolean;
  /** Names of runners that are gone; none in a whole list. */
  readonly left: readonly string[];
}

/**
 * Runners that are gone whose names are kept, for daemons that know less. One
 * that knows still less is given the whole list.
 */
const MAX_LEFT = 500;
/** Revisions that others ask from, at once; most have one of the last few. */
const MAX_NEWS = 16;

/**
 * Holds the newest list and tells which runners may get work. A list is only
 * ever followed by a newer one, whether it came from the store or a peer, so
 * a runner that was seen to leave does not come back by an older list.
 */
export class RunnerDirectory {
  readonly #changed: (() => void)[] = [];
  readonly #late = new StaleEntries((runner) => this.#accept(runner));
  #list: RunnerList = { revision: 0, runners: [] };
  /** At which revision an entry, by name, changed last here. */
  readonly #changedAt = new Map<string, number>();
  readonly #leftAt = new Map<string, number>();
  /** Revision since which all that left is known. */
  #leftSince = 0;
  #byService: ReadonlyMap<string, readonly Runner[]> = new Map();
  /** What was told of the present list, by the revision that was asked from. */
  #news = new Map<number, RunnerListUpdate>();

  /** Revision of the store that the list is from; 0 when there is none. */
  get revision(): number {
    return this.#list.revision;
  }

  get list(): RunnerList {
    return this.#list;
  }

  /**
   * What a daemon lacks that has the list of a revision. While runners start, the
   * list changes many times a second, and each time all daemons are told; those
   * that ask from the same revision are given the same object.
   */
  updateSince(since: number): RunnerListUpdate {
    const known = this.#news.get(since);
    if (known !== undefined) return known;
    const news = this.#newsSince(since);
    if (this.#news.size >= MAX_NEWS) this.#news.clear();
    this.#news.set(since, news);
    return news;
  }

  #newsSince(since: number): RunnerListUpdate {
    const { revision, runners } = this.#list;
    const whole = since === 0 || since < this.#leftSince;
    if (whole) return { revision, runners, whole, left: [] };
    const isNew = ([, at]: readonly [string, number]) => at > since;
    return {
      revision,
      whole,
      runners: runners.filter(({ name }) =>
        (this.#changedAt.get(name) ?? 0) > since
      ),
      left: [...this.#leftAt].filter(isNew).map(([name]) => name),
    };
  }

  /** Takes what a peer gave. */
  applyUpdate({ revision, runners, whole, left }: RunnerListUpdate): void {
    if (whole) this.replace({ revision, runners });
    else this.applyChange(revision, runners, left);
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
  applyChange(
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
  recordStart(name: string, startedAtMs: number): void {
    const known = this.#byName().get(name);
    if (known === undefined) return;
    const runner = { ...known, id: runnerId(name, startedAtMs), startedAtMs };
    if (runner.id === known.id || isStale(runner, known)) return;
    this.#accept(runner);
  }

  /** Runners of a service that take new work. */
  ready(service: string): readonly Runner[] {
    return this.#byService.get(service) ?? [];
  }

  #noteChanges({ revision, runners }: RunnerList): void {
    const before = this.#byName();
    for (const runner of runners) {
      const known = before.get(runner.name);
      before.delete(runner.name);
      this.#leftAt.delete(runner.name);
      if (!isDeepStrictEqual(known, runner)) {
        this.#changedAt.set(runner.name, revision);
      }
    }
    for (const name of before.keys()) {
      this.#changedAt.delete(name);
      this.#leftAt.set(name, revision);
    }
    for (const [name, at] of this.#leftAt) {
      if (this.#leftAt.size <= MAX_LEFT) break;
      this.#leftAt.delete(name);
      this.#leftSince = at;
    }
  }

  #byName(): Map<string, Runner> {
    return new Map(this.#list.runners.map((each) => [each.name, each]));
  }

  /** The entry to use: not one of an earlier life that comes late. */
  #newest(known: ReadonlyMap<string, Runner>, entry: Runner): Runner {
    const current = known.get(entry.name);
    this.#late.forget(entry.name);
    if (current === undefined || !isStale(entry, current)) return entry;
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
    this.#noteChanges(list);
    this.#news = new Map();
    this.#list = list;
    const ready = list.runners.filter(({ draining }) => !draining);
    this.#byService = groupBy(ready, ({ service }) => service);
    for (const listener of this.#changed) listener();
  }
}
