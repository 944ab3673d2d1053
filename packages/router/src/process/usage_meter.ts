/**
 * How many requests of each workspace runners began, counted by all daemons.
 *
 * @module
 */

/** What one life of a daemon counted in one window. Counts only grow. */
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

/** Windows that are kept: the present one and those that may be still to report. */
const KEPT_WINDOWS = 8;
/** Windows that a count may lie ahead, where its daemon's clock is. */
const MAX_AHEAD = 1;
/** Lives of daemons that are kept for one window. */
const MAX_LIVES = 4_096;
/** Workspaces that are kept for one life and window. */
const MAX_WORKSPACES = 4_096;

/** Counts of one life in one window. */
type Tally = Map<string, number>;

/** How a meter tells the time. */
export interface UsageMeterOptions {
  /** Incarnation of this daemon. */
  readonly incarnation: string;
  readonly windowMs: number;
  /** Epoch milliseconds. */
  readonly now: () => number;
}

/**
 * Counts the requests of this daemon that runners began, and keeps what others
 * tell. Counts of a life and window are merged by the maximum, so that news that
 * come twice, late or by two ways add nothing.
 *
 * @example
 * ```ts
 * const meter = new UsageMeter({ life, windowMs: 5_000, now: () => time.now() });
 * meter.began("fitters");
 * meter.totals(meter.window); // Map { "fitters" => 1 }
 * ```
 */
export class UsageMeter {
  readonly #options: UsageMeterOptions;
  /** By window, then by life. */
  readonly #windows = new Map<number, Map<string, Tally>>();
  /** Own counts that have changed since they were told. */
  readonly #untold = new Map<number, Set<string>>();

  constructor(options: UsageMeterOptions) {
    this.#options = options;
  }

  /** Number of the present window. */
  get window(): number {
    return Math.floor(this.#options.now() / this.#options.windowMs);
  }

  /** Counts a request of a workspace that a runner began. */
  countRequest(workspace: string): void {
    const { window } = this;
    const { incarnation: life } = this.#options;
    const tally = this.#tally(window, life);
    if (tally === undefined) return;
    tally.set(workspace, (tally.get(workspace) ?? 0) + 1);
    const untold = this.#untold.get(window) ?? new Set();
    this.#untold.set(window, untold.add(workspace));
  }

  /** Own counts that have changed since the last call. */
  takeUpdates(): readonly UsageCount[] {
    const { incarnation: life } = this.#options;
    const news = [...this.#untold].flatMap(([window, workspaces]) => {
      const tally = this.#windows.get(window)?.get(life);
      if (tally === undefined) return [];
      const counts = [...workspaces]
        .map((each) => [each, tally.get(each) ?? 0] as const);
      return [{ incarnation: life, window, counts }];
    });
    this.#untold.clear();
    return news;
  }

  /**
   * Takes what a neighbour told.
   *
   * @returns what of it was not known here.
   */
  applyUpdates(told: readonly UsageCount[]): readonly UsageCount[] {
    return told.flatMap((each) => {
      const tally = this.#tally(each.window, each.incarnation);
      if (tally === undefined) return [];
      const counts = each.counts.filter(([workspace, requests]) =>
        raise(tally, workspace, requests)
      );
      return counts.length === 0 ? [] : [{ ...each, counts }];
    });
  }

  /** All that is known. */
  snapshot(): readonly UsageCount[] {
    return [...this.#windows].flatMap(([window, lives]) =>
      [...lives].map(([life, tally]) => ({
        incarnation: life,
        window,
        counts: [...tally],
      }))
    );
  }

  /** Lives of daemons that counted anything in a window. */
  incarnations(window: number): ReadonlySet<string> {
    return new Set(this.#windows.get(window)?.keys());
  }

  /** Requests of each workspace in a window, counted by some lives or by all. */
  totals(
    window: number,
    counts: (life: string) => boolean = () => true,
  ): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const [life, tally] of this.#windows.get(window) ?? []) {
      if (!counts(life)) continue;
      for (const [workspace, requests] of tally) {
        totals.set(workspace, (totals.get(workspace) ?? 0) + requests);
      }
    }
    return totals;
  }

  #tally(window: number, life: string): Tally | undefined {
    const present = this.window;
    const known = window > present - KEPT_WINDOWS &&
      window <= present + MAX_AHEAD;
    if (!known) return undefined;
    let lives = this.#windows.get(window);
    if (lives === undefined) {
      this.#forgetBefore(present - KEPT_WINDOWS);
      this.#windows.set(window, lives = new Map());
    }
    const tally = lives.get(life);
    if (tally !== undefined) return tally;
    if (lives.size >= MAX_LIVES) return undefined;
    const begun: Tally = new Map();
    lives.set(life, begun);
    return begun;
  }

  #forgetBefore(window: number): void {
    for (const each of this.#windows.keys()) {
      if (each <= window) this.#windows.delete(each);
    }
    for (const each of this.#untold.keys()) {
      if (each <= window) this.#untold.delete(each);
    }
  }
}

/** Raises a count; whether it was lower. */
function raise(tally: Tally, workspace: string, requests: number): boolean {
  const before = tally.get(workspace);
  if (before === undefined && tally.size >= MAX_WORKSPACES) return false;
  if (requests <= (before ?? 0)) return false;
  tally.set(workspace, requests);
  return true;
}
