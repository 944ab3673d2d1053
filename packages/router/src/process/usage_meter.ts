/**
 * Counts of the requests that runners started for each workspace, shared by all
 * daemons.
 *
 * @module
 */

import type { EventLog } from "./event_log.ts";

/** Counts of one incarnation of a daemon in one window. They never decrease. */
export interface UsageCount {
  /** Incarnation of the daemon. */
  readonly incarnation: string;
  /** Number of the window since the epoch. */
  readonly window: number;
  /** Requests by workspace. */
  readonly counts: readonly WorkspaceCount[];
}

/**
 * Announcement of a daemon that its counts are complete: those of `window`, and of
 * all windows before.
 */
export interface UsageEnd {
  readonly incarnation: string;
  readonly window: number;
  /** Whether the daemon has left, and counts nothing any more. */
  readonly left: boolean;
}

/** Requests of one workspace. */
export type WorkspaceCount = readonly [workspace: string, requests: number];

/** Counts by workspace. */
export type Counts = Readonly<Record<string, number>>;

/**
 * Windows that are kept: the current one and those that may not be reported yet.
 */
const KEPT_WINDOWS = 8;
/** Windows by which a count may be ahead, if the clock of its daemon is fast. */
const MAX_AHEAD = 1;
/** Maximum number of incarnations that are kept for one window. */
const MAX_INCARNATIONS = 4_096;
/** Maximum number of workspaces that are kept for one incarnation and window. */
const MAX_WORKSPACES = 4_096;

/** Counts of one incarnation in one window, by workspace. */
type Tally = Map<string, number>;

/** Options of a {@linkcode UsageMeter}. */
export interface UsageMeterOptions {
  /** Incarnation of this daemon. */
  readonly incarnation: string;
  readonly windowMs: number;
  /** Returns the time in epoch milliseconds. */
  readonly now: () => number;
  readonly log: Pick<EventLog, "event">;
}

/**
 * Counts the requests of this daemon that runners started, and merges the counts
 * of other daemons. Counts of an incarnation and window are merged by the
 * maximum, so that duplicated, late or rerouted updates do not change the totals.
 *
 * The ends of windows that other daemons announce are kept as well. An end is sent
 * with the counts that it covers, or after them, on each link; so a meter that has
 * the end of an incarnation's window has all its counts of that window.
 *
 * @example
 * ```ts
 * const meter = new UsageMeter({
 *   incarnation,
 *   windowMs: 5_000,
 *   now: () => time.now(),
 *   log,
 * });
 * meter.countRequest("fitters");
 * meter.totals(meter.window); // Map { "fitters" => 1 }
 * ```
 */
export class UsageMeter {
  readonly #options: UsageMeterOptions;
  /** Counts by window, then by incarnation. */
  readonly #windows = new Map<number, Map<string, Tally>>();
  /** Workspaces whose own counts have changed since the last update, by window. */
  readonly #changed = new Map<number, Set<string>>();
  /** The ends that other incarnations have announced. */
  readonly #ends = new Map<string, UsageEnd>();
  /** Last window in which this daemon counts nothing any more. */
  #closedWindow = -Infinity;
  #left = false;
  /** The own end that was returned last by {@linkcode takeEnds}. */
  #announced: UsageEnd | undefined;
  /** Window in which an invalid end was logged last. */
  #loggedWindow: number | undefined;

  constructor(options: UsageMeterOptions) {
    this.#options = options;
  }

  /** Number of the current window. */
  get window(): number {
    return Math.floor(this.#options.now() / this.#options.windowMs);
  }

  /** Counts a request of a workspace that a runner has started. */
  countRequest(workspace: string): void {
    // The clock may go back a little when neighbours' times arrive.
    const window = Math.max(this.window, this.#closedWindow + 1);
    const { incarnation } = this.#options;
    const tally = this.#tally(window, incarnation);
    if (tally === undefined) return;
    tally.set(workspace, (tally.get(workspace) ?? 0) + 1);
    const changed = this.#changed.get(window) ?? new Set();
    this.#changed.set(window, changed.add(workspace));
  }

  /** Returns own counts that have changed since the last call. */
  takeUpdates(): readonly UsageCount[] {
    const { incarnation } = this.#options;
    const updates = [...this.#changed].flatMap(([window, workspaces]) => {
      const tally = this.#windows.get(window)?.get(incarnation);
      if (tally === undefined) return [];
      const counts = [...workspaces]
        .map((workspace) => [workspace, tally.get(workspace) ?? 0] as const);
      return [{ incarnation, window, counts }];
    });
    this.#changed.clear();
    return updates;
  }

  /**
   * Merges the counts that a neighbour sent.
   *
   * @returns the counts that were not known yet.
   */
  applyUpdates(updates: readonly UsageCount[]): readonly UsageCount[] {
    return updates.flatMap((update) => {
      const tally = this.#tally(update.window, update.incarnation);
      if (tally === undefined) return [];
      const counts = update.counts.filter(([workspace, requests]) =>
        raise(tally, workspace, requests)
      );
      return counts.length === 0 ? [] : [{ ...update, counts }];
    });
  }

  /** Announces that this daemon counts no further requests. */
  leave(): void {
    this.#left = true;
  }

  /** Returns this daemon's end if it has changed since the last call. */
  takeEnds(): readonly UsageEnd[] {
    const end = this.#ownEnd();
    const { window, left } = this.#announced ?? {};
    if (window === end.window && left === end.left) return [];
    this.#announced = end;
    return [end];
  }

  /**
   * Merges the ends that a neighbour sent. Invalid ones are left out, and logged
   * once in a window.
   *
   * @returns the ends that were not known yet.
   */
  applyEnds(ends: readonly UsageEnd[]): readonly UsageEnd[] {
    const current = this.window;
    const fresh = [];
    let invalid = 0;
    for (const end of ends) {
      if (!isValidEnd(end, current)) invalid += 1;
      else if (this.#applyEnd(end, current)) fresh.push(end);
    }
    if (invalid > 0 && this.#loggedWindow !== current) {
      this.#loggedWindow = current;
      this.#options.log.event("usage_end_invalid", { ends: invalid });
    }
    return fresh;
  }

  /** Returns all known ends, this daemon's among them, by incarnation. */
  ends(): ReadonlyMap<string, UsageEnd> {
    this.#removeEndsUpTo(this.window - KEPT_WINDOWS);
    const own = this.#ownEnd();
    return new Map([...this.#ends, [own.incarnation, own]]);
  }

  /** Whether counts or an end of an incarnation are known. */
  knows(incarnation: string): boolean {
    if (this.ends().has(incarnation)) return true;
    return [...this.#windows.values()]
      .some((tallies) => tallies.has(incarnation));
  }

  /** Whether an end follows another one of the same incarnation that is known. */
  lacks({ incarnation, window }: UsageEnd): boolean {
    const known = this.#ends.get(incarnation);
    return known !== undefined && known.window < window;
  }

  /** Returns the counts of an incarnation in all windows after the given one. */
  countsAfter(incarnation: string, after: number): readonly UsageCount[] {
    return [...this.#windows].flatMap(([window, tallies]) => {
      const tally = tallies.get(incarnation);
      if (tally === undefined || window <= after) return [];
      return [{ incarnation, window, counts: [...tally] }];
    });
  }

  /** Returns all known counts. */
  snapshot(): readonly UsageCount[] {
    return [...this.#windows].flatMap(([window, tallies]) =>
      [...tallies].map(([incarnation, tally]) => ({
        incarnation,
        window,
        counts: [...tally],
      }))
    );
  }

  /** Returns the incarnations that counted requests in a window. */
  incarnations(window: number): ReadonlySet<string> {
    return new Set(this.#windows.get(window)?.keys());
  }

  /**
   * Returns the requests of each workspace in a window.
   *
   * @param includes selects the incarnations whose counts are added up.
   */
  totals(
    window: number,
    includes: (incarnation: string) => boolean = () => true,
  ): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const [incarnation, tally] of this.#windows.get(window) ?? []) {
      if (!includes(incarnation)) continue;
      for (const [workspace, requests] of tally) {
        totals.set(workspace, (totals.get(workspace) ?? 0) + requests);
      }
    }
    return totals;
  }

  /** Returns the tally to count in, or nothing if the limits exclude it. */
  #tally(window: number, incarnation: string): Tally | undefined {
    const current = this.window;
    const inRange = window > current - KEPT_WINDOWS &&
      window <= current + MAX_AHEAD;
    if (!inRange) return undefined;
    let tallies = this.#windows.get(window);
    if (tallies === undefined) {
      this.#removeUpTo(current - KEPT_WINDOWS);
      this.#windows.set(window, tallies = new Map());
    }
    const tally = tallies.get(incarnation);
    if (tally !== undefined) return tally;
    if (tallies.size >= MAX_INCARNATIONS) return undefined;
    const created: Tally = new Map();
    tallies.set(incarnation, created);
    return created;
  }

  #ownEnd(): UsageEnd {
    const { incarnation } = this.#options;
    const { window } = this;
    // A clock that was far ahead has been corrected: counting goes on in the
    // present windows.
    if (this.#closedWindow > window) this.#closedWindow = window - 1;
    this.#closedWindow = Math.max(this.#closedWindow, window - 1);
    return { incarnation, window: this.#closedWindow, left: this.#left };
  }

  /** Returns whether an end was not known yet. */
  #applyEnd(end: UsageEnd, current: number): boolean {
    const { incarnation, window } = end;
    if (incarnation === this.#options.incarnation) return false;
    if (window <= current - KEPT_WINDOWS) return false;
    const known = this.#ends.get(incarnation);
    if (known === undefined && this.#ends.size >= MAX_INCARNATIONS) {
      this.#removeEndsUpTo(current - KEPT_WINDOWS);
      if (this.#ends.size >= MAX_INCARNATIONS) return false;
    }
    const merged = known === undefined ? end : mergeEnds(known, end);
    this.#ends.set(incarnation, merged);
    return merged.window !== known?.window || merged.left !== known.left;
  }

  #removeEndsUpTo(last: number): void {
    for (const [incarnation, { window }] of this.#ends) {
      if (window <= last) this.#ends.delete(incarnation);
    }
  }

  #removeUpTo(last: number): void {
    for (const window of this.#windows.keys()) {
      if (window <= last) this.#windows.delete(window);
    }
    for (const window of this.#changed.keys()) {
      if (window <= last) this.#changed.delete(window);
    }
  }
}

/** Merges two ends of one incarnation. */
export function mergeEnds(one: UsageEnd, other: UsageEnd): UsageEnd {
  return {
    incarnation: one.incarnation,
    window: Math.max(one.window, other.window),
    left: one.left || other.left,
  };
}

/** Whether an end is one that a daemon with a right clock can have announced. */
function isValidEnd({ incarnation, window }: UsageEnd, current: number) {
  return incarnation !== "" && Number.isSafeInteger(window) && window >= -1 &&
    window <= current + MAX_AHEAD;
}

/**
 * Raises a count to `requests`.
 *
 * @returns whether the count was lower.
 */
function raise(tally: Tally, workspace: string, requests: number): boolean {
  const before = tally.get(workspace);
  if (before === undefined && tally.size >= MAX_WORKSPACES) return false;
  if (requests <= (before ?? 0)) return false;
  tally.set(workspace, requests);
  return true;
}
