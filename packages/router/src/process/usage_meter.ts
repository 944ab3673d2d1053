/**
 * Counts of the requests that runners started for each workspace, shared by all
 * daemons.
 *
 * @module
 */

/** Counts of one incarnation of a daemon in one window. They never decrease. */
export interface UsageCount {
  /** Incarnation of the daemon. */
  readonly incarnation: string;
  /** Number of the window since the epoch. */
  readonly window: number;
  /** Requests by workspace. */
  readonly counts: readonly WorkspaceCount[];
}

/** Requests of one workspace. */
export type WorkspaceCount = readonly [workspace: string, requests: number];

/** Counts by workspace. */
export type Counts = Readonly<Record<string, number>>;

/** Windows that are kept: the current one and those that may not be reported yet. */
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
}

/**
 * Counts the requests of this daemon that runners started, and merges the counts
 * of other daemons. Counts of an incarnation and window are merged by the
 * maximum, so that duplicated, late or rerouted updates do not change the totals.
 *
 * @example
 * ```ts
 * const meter = new UsageMeter({
 *   incarnation,
 *   windowMs: 5_000,
 *   now: () => time.now(),
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

  constructor(options: UsageMeterOptions) {
    this.#options = options;
  }

  /** Number of the current window. */
  get window(): number {
    return Math.floor(this.#options.now() / this.#options.windowMs);
  }

  /** Counts a request of a workspace that a runner has started. */
  countRequest(workspace: string): void {
    const { window } = this;
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

  #removeUpTo(last: number): void {
    for (const window of this.#windows.keys()) {
      if (window <= last) this.#windows.delete(window);
    }
    for (const window of this.#changed.keys()) {
      if (window <= last) this.#changed.delete(window);
    }
  }
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
