/**
 * Rate limits that runners state for all daemons together.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { TokenBucket } from "./token_bucket.ts";
import type { Rate } from "./token_bucket.ts";
import type { EventLog } from "./event_log.ts";
import { NO_SHARE, shareOf } from "./limit_share.ts";
import type { FleetView } from "./fleet_view.ts";

/** Rate limit as stated in a runner's response. */
export type StatedLimit =
  /** Requests per second, from all daemons together. */
  | { readonly kind: "limit"; readonly perS: number }
  /** A value that is not a valid rate. */
  | { readonly kind: "unreadable"; readonly text: string };

/** Latest limit that a runner stated, to this or to another daemon. */
export interface LimitUpdate {
  /** Id of the runner's incarnation. */
  readonly runner: string;
  /**
   * Requests per second; undefined once the runner states no limit any more.
   */
  readonly perS: number | undefined;
  /** When the runner stated it, in monotonic ms. */
  readonly at: number;
}

/**
 * Milliseconds after which an unchanged limit is sent to other daemons again.
 */
const REBROADCAST_MS = 5_000;
/**
 * Milliseconds without a response of a limited runner after which its limit is
 * divided among other daemons: those with a share may have no callers, or be
 * partitioned from the runner.
 */
const ROTATION_MS = 15_000;
/**
 * Milliseconds for which the end of a limit is included in snapshots, for
 * daemons that were partitioned when it ended.
 */
const ENDED_LIMIT_TTL_MS = 600_000;
/** Milliseconds between two checks of the fleet view. */
const VIEW_CHECK_MS = 1_000;
/**
 * Log lines per runner and interval: one for a limit's start, one for its end.
 */
const MAX_LOG_LINES = 2;
/** Interval in ms of the bound on log lines. */
const LOG_INTERVAL_MS = 1_000;
/**
 * Maximum number of runners kept for an unreadable limit, so that each is logged
 * once.
 */
const MAX_UNREADABLE_RUNNERS = 1_000;

interface Limit {
  perS: number | undefined;
  /** When the runner last stated the limit, as far as known. */
  at: number;
  broadcastAt: number;
  /** Start of the current log interval. */
  loggedAt: number;
  /** Changes of the limit in this interval. */
  lines: number;
  share: Rate;
  /** Cache key of `share`: version of the fleet view, and rotation. */
  shareKey: string;
  /** Limits this daemon's requests to its share. */
  readonly bucket: TokenBucket;
}

/**
 * Enforces the rate limits that runners state, and this daemon's share of each.
 * If each daemon applied the whole limit alone, an overloaded runner would get
 * as much from every daemon as it accepts from all. Daemons therefore exchange
 * the stated limits, and a small limit is divided among only a few daemons.
 *
 * @example
 * ```ts
 * if (limits.allowsRequest(id, now)) limits.recordRequest(id, now);
 * ```
 */
export class RunnerLimits {
  readonly #log: EventLog;
  readonly #getView: () => FleetView;
  readonly #limits = new Map<string, Limit>();
  readonly #unreadable = new Set<string>();
  #view: FleetView = { own: "", names: [], fleetSize: 0 };
  /** Incremented when the fleet view changes. */
  #viewVersion = 0;
  #viewCheckedAt = -Infinity;
  readonly #listeners: (() => void)[] = [];
  #pending = new Set<string>();

  /** @param getView returns the daemons among which limits are divided. */
  constructor(log: EventLog, getView: () => FleetView) {
    this.#log = log;
    this.#getView = getView;
  }

  /** Calls `listener` when this daemon has an update for other daemons. */
  onUpdate(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Whether any runner has ever stated a limit. */
  get hasLimits(): boolean {
    return this.#limits.size > 0;
  }

  /** Requests per second that a runner accepts, if it states a limit. */
  perSecond(runner: string): number | undefined {
    return this.#limits.get(runner)?.perS;
  }

  /**
   * Whether this daemon has a share of a runner's limit, or there is no limit.
   */
  hasShare(runner: string, now: number): boolean {
    const limit = this.#limits.get(runner);
    if (limit?.perS === undefined) return true;
    return this.#shareOf(runner, limit, now).perSecond > 0;
  }

  /** Whether this daemon may send a request to a runner now. */
  allowsRequest(runner: string, now: number): boolean {
    const limit = this.#limits.get(runner);
    if (limit?.perS === undefined) return true;
    this.#shareOf(runner, limit, now);
    return limit.bucket.available(now) >= 1;
  }

  /** Counts a request that is sent to a runner against this daemon's share. */
  recordRequest(runner: string, now: number): void {
    const limit = this.#limits.get(runner);
    if (limit?.perS === undefined) return;
    this.#shareOf(runner, limit, now);
    limit.bucket.take(1);
  }

  /**
   * Records the limit stated in a runner's response, or its absence.
   *
   * @param times monotonic ms; a response to a request that was sent before the
   * runner stated its limit does not end the limit.
   */
  recordStated(
    runner: string,
    stated: StatedLimit | undefined,
    times: { readonly sentAt: number; readonly now: number },
  ): void {
    const { sentAt, now } = times;
    if (stated?.kind === "unreadable") {
      return this.#logUnreadable(runner, stated.text);
    }
    const limit = this.#limits.get(runner);
    if (stated === undefined) {
      const ended = limit?.perS !== undefined && sentAt > limit.at;
      if (ended) this.#publish({ runner, perS: undefined, at: now }, now);
      return;
    }
    const { perS } = stated;
    const unchanged = limit?.perS === perS &&
      now - limit.broadcastAt < REBROADCAST_MS;
    if (unchanged) limit.at = now;
    else this.#publish({ runner, perS, at: now }, now);
  }

  /**
   * Applies updates from other daemons.
   *
   * @returns the updates that were new to this daemon, to be forwarded.
   */
  applyUpdates(
    updates: readonly LimitUpdate[],
    now: number,
  ): readonly LimitUpdate[] {
    return updates.filter((update) =>
      this.#isNew(update) && this.#apply(update, now)
    );
  }

  /** Returns the updates that originated here since the last call. */
  takeUpdates(): readonly LimitUpdate[] {
    const runners = [...this.#pending];
    this.#pending = new Set();
    return runners.flatMap((runner) => this.#updatesOf(runner));
  }

  /** Returns all current limits, for a daemon that has just connected. */
  snapshot(now: number): readonly LimitUpdate[] {
    return [...this.#limits.keys()]
      .flatMap((runner) => this.#updatesOf(runner))
      .filter(({ perS, at }) =>
        perS !== undefined || now - at < ENDED_LIMIT_TTL_MS
      );
  }

  /** Deletes runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const entries of [this.#limits, this.#unreadable]) {
      for (const id of entries.keys()) {
        if (!ids.has(id)) entries.delete(id);
      }
    }
  }

  #updatesOf(runner: string): readonly LimitUpdate[] {
    const limit = this.#limits.get(runner);
    if (limit === undefined) return [];
    return [{ runner, perS: limit.perS, at: limit.at }];
  }

  #isNew({ runner, perS, at }: LimitUpdate): boolean {
    const current = this.#limits.get(runner);
    if (current === undefined) return perS !== undefined;
    if (at <= current.at) return false;
    // An unchanged limit is sent periodically, and arrives over several paths.
    return perS !== current.perS || at - current.at > REBROADCAST_MS / 2;
  }

  /**
   * Applies an update that originated here, and queues it for other daemons.
   */
  #publish(update: LimitUpdate, now: number): void {
    this.#apply(update, now);
    this.#pending.add(update.runner);
    for (const listener of this.#listeners) listener();
  }

  #apply({ runner, perS, at }: LimitUpdate, now: number): true {
    const current = this.#limits.get(runner);
    const limit = current ?? unlimited();
    this.#limits.set(runner, limit);
    const before = limit.perS;
    limit.perS = perS;
    limit.at = at;
    limit.broadcastAt = now;
    if (perS !== before) this.#limitChanged(runner, limit, { before, now });
    return true;
  }

  #limitChanged(runner: string, limit: Limit, change: {
    readonly before: number | undefined;
    readonly now: number;
  }): void {
    const { before, now } = change;
    // Tokens accumulated while there was no limit must not allow a burst.
    if (before === undefined) limit.bucket.empty(now);
    limit.shareKey = "";
    if (!mayLog(limit, now)) return;
    this.#log.event("runner_limit_changed", {
      runner,
      per_s: limit.perS,
      before,
      own_per_s: limit.perS && this.#shareOf(runner, limit, now).perSecond,
      age_ms: Math.round(now - limit.at),
    });
  }

  /**
   * This daemon's share; recomputed when the fleet view or rotation changes.
   */
  #shareOf(runner: string, limit: Limit, now: number): Rate {
    this.#refreshView(now);
    const rotation = Math.floor(Math.max(0, now - limit.at) / ROTATION_MS);
    const key = `${this.#viewVersion}/${rotation}`;
    if (limit.shareKey === key) return limit.share;
    limit.share = shareOf(`${runner}/${rotation}`, limit.perS!, this.#view);
    limit.shareKey = key;
    limit.bucket.setRate(limit.share, now);
    return limit.share;
  }

  #refreshView(now: number): void {
    if (now - this.#viewCheckedAt < VIEW_CHECK_MS) return;
    this.#viewCheckedAt = now;
    const view = this.#getView();
    if (isDeepStrictEqual(view, this.#view)) return;
    this.#view = view;
    this.#viewVersion += 1;
  }

  #logUnreadable(runner: string, text: string): void {
    if (this.#unreadable.has(runner)) return;
    if (this.#unreadable.size >= MAX_UNREADABLE_RUNNERS) return;
    this.#unreadable.add(runner);
    this.#log.event("runner_limit_unreadable", { runner, text });
  }
}

/**
 * Bounds the log lines per runner, since a runner may state another limit in
 * each response, or a limit in every second one.
 */
function mayLog(limit: Limit, now: number): boolean {
  if (now - limit.loggedAt >= LOG_INTERVAL_MS) {
    limit.loggedAt = now;
    limit.lines = 0;
  }
  limit.lines += 1;
  return limit.lines <= MAX_LOG_LINES;
}

function unlimited(): Limit {
  return {
    perS: undefined,
    at: -Infinity,
    broadcastAt: -Infinity,
    loggedAt: -Infinity,
    lines: 0,
    share: NO_SHARE,
    shareKey: "",
    bucket: new TokenBucket(NO_SHARE),
  };
}
