/**
 * Directory of all runners, as listed by the platform.
 *
 * @module
 */

import { isDeepStrictEqual } from "node:util";
import type { DrainingRunners } from "./draining_runners.ts";
import { groupBy } from "./group.ts";
import { RevivedRunners } from "./revived_runners.ts";
import { isStale, StaleEntries } from "./stale_entries.ts";
import { epochOf } from "./store_revision.ts";
import { runnerId } from "./runner.ts";
import type { Runner } from "./runner.ts";

/** Whether entries equal the known ones, in any order. */
function isSame(
  known: ReadonlyMap<string, Runner>,
  runners: readonly Runner[],
): boolean {
  return known.size === runners.length &&
    runners.every((runner) =>
      isDeepStrictEqual(known.get(runner.name), runner)
    );
}

/** All runners at one revision of the platform's store. */
export interface RunnerList {
  readonly revision: number;
  readonly runners: readonly Runner[];
}

/**
 * The revisions between two whole lists. What changed within them is unknown: a
 * runner may have come and left.
 */
export interface Gap {
  readonly after: number;
  readonly before: number;
}

/** Changes since an earlier revision, or the whole list. */
export interface RunnerListUpdate extends RunnerList {
  /** Whether `runners` is the whole list. */
  readonly whole: boolean;
  /** Names of removed runners; empty in a whole list. */
  readonly left: readonly string[];
  /**
   * The sender's gaps since the earlier revision; absent without any. The receiver
   * does not know either what changed within them.
   */
  readonly gaps?: readonly Gap[];
}

/**
 * Removed runners whose names are kept for daemons with an older list. A daemon
 * whose list is older than these removals receives the whole list.
 */
const MAX_REMOVED = 500;
/** Remembered gaps; a daemon with an older list receives the whole list. */
const MAX_GAPS = 16;
/** Cached updates, by base revision; most daemons have one of the last few. */
const MAX_CACHED_UPDATES = 16;

/** A removed runner. */
interface Removal {
  /** Id of the incarnation; undefined if this daemon never had it. */
  readonly id: string | undefined;
  /** Revision of the list that no longer had it. */
  readonly revision: number;
}

/**
 * Holds the newest list of runners, indexed by service. A list is only replaced
 * by one of a higher revision, whether from the store or a peer, so that an
 * older list cannot bring a removed runner back; a current list of the store also
 * repairs one of the same revision. Revisions rise over restores of
 * the store (see {@linkcode storeRevision}), which lose the latest entries: what
 * they said of shutdowns and removals is remembered.
 */
export class RunnerDirectory {
  readonly #listeners: (() => void)[] = [];
  readonly #stale = new StaleEntries((runner) => this.#accept(runner));
  #list: RunnerList = { revision: 0, runners: [] };
  /** Revision at which each entry last changed or was sent again, by name. */
  readonly #changedAt = new Map<string, number>();
  readonly #removed = new Map<string, Removal>();
  readonly #revived = new RevivedRunners(() => this.#changed());
  /** Revision since which all removals are known, but for those in gaps. */
  #removalsSince = 0;
  readonly #gaps: Gap[] = [];
  readonly #draining: DrainingRunners;
  #runners: readonly Runner[] = [];
  #byService: ReadonlyMap<string, readonly Runner[]> = new Map();
  /** Cached updates to the current list, by base revision. */
  #updates = new Map<number, RunnerListUpdate>();

  /**
   * @param draining runners that stated that they are shutting down; their
   * entries in the list may not say so yet.
   */
  constructor(draining: DrainingRunners) {
    this.#draining = draining;
    draining.onChange(() => this.#updateReady());
  }

  /** Store revision of the list; 0 without a list. */
  get revision(): number {
    return this.#list.revision;
  }

  /** The list as the store has it. */
  get list(): RunnerList {
    return this.#list;
  }

  /** All runners, with their own statements applied to their entries. */
  get runners(): readonly Runner[] {
    return this.#runners;
  }

  /**
   * Returns the changes since a revision. While runners start, the list changes
   * many times a second and every change goes to all daemons; updates are
   * therefore cached, and daemons with the same revision are given the same
   * object.
   */
  updateSince(since: number): RunnerListUpdate {
    const known = this.#updates.get(since);
    if (known !== undefined) return known;
    const update = this.#computeUpdate(since);
    if (this.#updates.size >= MAX_CACHED_UPDATES) this.#updates.clear();
    this.#updates.set(since, update);
    return update;
  }

  #computeUpdate(since: number): RunnerListUpdate {
    const { revision, runners } = this.#list;
    const whole = since === 0 || since < this.#removalsSince ||
      this.#gaps.some(({ after, before }) => since > after && since < before);
    if (whole) return { revision, runners, whole, left: [] };
    const gaps = this.#gaps.filter(({ after }) => after >= since);
    return {
      ...(gaps.length > 0 && { gaps }),
      revision,
      whole,
      runners: runners.filter(({ name }) =>
        (this.#changedAt.get(name) ?? 0) > since
      ),
      left: [...this.#removed]
        .filter(([, removal]) => removal.revision > since)
        .map(([name]) => name),
    };
  }

  /** Applies an update from a peer. */
  applyUpdate(update: RunnerListUpdate): void {
    const { revision, runners, whole, left, gaps = [] } = update;
    if (revision <= this.#list.revision) return;
    for (const gap of gaps) this.#recordGap(gap);
    if (whole) this.replace({ revision, runners });
    else this.applyChange(revision, runners, left);
  }

  /** Calls `listener` after each change. */
  onChange(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Replaces the whole list, unless the new one is not newer.
   *
   * @param options `current`: whether it is what the store has now; it then also
   * repairs a list of the same revision.
   * @returns whether this daemon has the new list.
   */
  replace(
    list: RunnerList,
    { current = false }: { readonly current?: boolean } = {},
  ): boolean {
    if (list.revision < this.#list.revision) return false;
    const repairs = list.revision === this.#list.revision;
    if (repairs && !current) return false;
    const known = this.#byName();
    this.#stale.retain(new Set(list.runners.map(({ name }) => name)));
    const restored = epochOf(list.revision) > epochOf(this.#list.revision);
    if (restored) this.#holdRevived(list.runners);
    const runners = list.runners.map((runner) => this.#newest(known, runner));
    if (repairs) {
      if (!isSame(known, runners)) this.#set({ ...this.#list, runners });
      return true;
    }
    this.#recordGap({ after: this.#list.revision, before: list.revision });
    this.#set({ revision: list.revision, runners });
    return true;
  }

  /** Applies the changes up to a revision, unless it is not newer. */
  applyChange(
    revision: number,
    updated: readonly Runner[],
    removed: readonly string[],
  ): void {
    if (revision <= this.#list.revision) return;
    const runners = this.#byName();
    for (const name of removed) {
      runners.delete(name);
      this.#stale.forget(name);
    }
    for (const runner of updated) {
      this.#revived.forget(runner.id);
      runners.set(runner.name, this.#newest(runners, runner));
      // Also without a difference: a list may have been ahead of its revision.
      this.#changedAt.set(runner.name, revision);
    }
    if (epochOf(revision) > epochOf(this.#list.revision)) {
      // The list before was stale; others of that epoch are from before a restore.
      this.#recordGap({ after: this.#list.revision, before: revision });
    }
    this.#recordRemovals(removed, revision);
    this.#set({ revision, runners: [...runners.values()] });
  }

  /**
   * Records the start time that a runner itself reports. It may arrive before
   * the runner's new entry if the store is down or unreachable from this
   * daemon.
   */
  recordStart(name: string, startedAtMs: number): void {
    const known = this.#byName().get(name);
    if (known === undefined) return;
    const runner = {
      ...known,
      id: runnerId(name, startedAtMs),
      startedAtMs,
      // It may have come back with other software.
      softwareVersion: undefined,
    };
    if (runner.id === known.id || isStale(runner, known)) return;
    this.#accept(runner);
  }

  /** Runners of a service that accept new requests. */
  ready(service: string): readonly Runner[] {
    return this.#byService.get(service) ?? [];
  }

  /** Ids of the runners of all services that accept new requests. */
  get readyIds(): ReadonlySet<string> {
    return new Set([...this.#byService.values()].flat().map(({ id }) => id));
  }

  #recordGap(gap: Gap): void {
    this.#gaps.push(gap);
    if (this.#gaps.length <= MAX_GAPS) return;
    const { before } = this.#gaps.shift()!;
    this.#removalsSince = Math.max(this.#removalsSince, before);
  }

  /** Records removals, also of runners that came and left meanwhile. */
  #recordRemovals(names: readonly string[], revision: number): void {
    for (const name of names) {
      const id = this.#removed.get(name)?.id;
      this.#removed.delete(name);
      this.#removed.set(name, { id, revision });
    }
  }

  /**
   * Records what differs in a new list. A change without a new revision counts as
   * one between this revision and the next: peers that have this one lack it.
   */
  #recordChanges({ revision: listed, runners }: RunnerList): void {
    const revision = listed === this.#list.revision ? listed + 0.5 : listed;
    const before = this.#byName();
    for (const runner of runners) {
      const known = before.get(runner.name);
      before.delete(runner.name);
      this.#removed.delete(runner.name);
      if (!isDeepStrictEqual(known, runner)) {
        this.#changedAt.set(runner.name, revision);
      }
    }
    for (const [name, { id }] of before) {
      this.#changedAt.delete(name);
      this.#removed.set(name, { id, revision });
      this.#revived.forget(id);
    }
    for (const [name, removal] of this.#removed) {
      if (this.#removed.size <= MAX_REMOVED) break;
      this.#removed.delete(name);
      this.#removalsSince = removal.revision;
    }
  }

  #byName(): Map<string, Runner> {
    return new Map(this.#list.runners.map((runner) => [runner.name, runner]));
  }

  /** Returns the entry to use: the current one if the new one is stale. */
  #newest(known: ReadonlyMap<string, Runner>, entry: Runner): Runner {
    const current = known.get(entry.name);
    if (current !== undefined && isStale(entry, current)) {
      this.#stale.hold(entry);
      return current;
    }
    this.#stale.forget(entry.name);
    return entry;
  }

  #accept(runner: Runner): void {
    const { revision, runners } = this.#list;
    this.#set({
      revision,
      runners: runners.map((entry) =>
        entry.name === runner.name ? runner : entry
      ),
    });
  }

  #set(list: RunnerList): void {
    this.#recordChanges(list);
    this.#updates = new Map();
    this.#list = list;
    this.#changed();
  }

  /** Holds out runners that were removed before the store was restored. */
  #holdRevived(runners: readonly Runner[]): void {
    for (const { id, name } of runners) {
      if (this.#removed.get(name)?.id === id) this.#revived.hold(id);
    }
  }

  #changed(): void {
    const draining = this.#list.runners.filter((runner) => runner.draining);
    this.#draining.recordListed(
      draining.map(({ id }) => id),
      performance.now(),
    );
    this.#updateReady();
    for (const listener of this.#listeners) listener();
  }

  #updateReady(): void {
    this.#runners = this.#list.runners.map((runner) =>
      this.#draining.has(runner.id) ? { ...runner, draining: true } : runner
    );
    const ready = this.#runners.filter(({ id, draining }) =>
      !draining && !this.#revived.has(id)
    );
    this.#byService = groupBy(ready, ({ service }) => service);
  }
}
