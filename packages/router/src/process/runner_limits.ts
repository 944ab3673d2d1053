/**
 * How much runners say that they take from all daemons together.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { TokenBucket } from "./token_bucket.ts";
import type { Rate } from "./token_bucket.ts";
import type { EventLog } from "./event_log.ts";
import { NO_SHARE, shareOf } from "./limit_share.ts";
import type { FleetView } from "./fleet_view.ts";

/** What a runner's answer says of how much the runner takes. */
export type StatedLimit =
  /** Requests a second, of all daemons together. */
  | { readonly kind: "limit"; readonly perS: number }
  /** Something that is no such number. */
  | { readonly kind: "unreadable"; readonly text: string };

/** What a runner said last, here or to another daemon. */
export interface LimitUpdate {
  /** Id of the runner's life. */
  readonly runner: string;
  /** Requests a second; none when it does not name a limit any more. */
  readonly perS: number | undefined;
  /** Steady ms. */
  readonly at: number;
}

/** Milliseconds after which others are told again of a limit that stays. */
const TELL_AGAIN_MS = 5_000;
/**
 * Milliseconds without a word of a limited runner after which other daemons have
 * the parts: those that had them may have no callers, or be cut off from it.
 */
const SILENT_MS = 15_000;
/**
 * Milliseconds for which others are told that a limit has ended, who may have
 * been cut off meanwhile.
 */
const ENDED_MS = 600_000;
/** Milliseconds between two looks who divides limits. */
const LOOK_MS = 1_000;
/** Lines of the log on one runner in a span: that it begins, and that it ends. */
const MAX_LINES = 2;
/** Milliseconds of such a span. */
const LOG_MS = 1_000;
/** Runners whose unreadable limits are remembered, so that each is logged once. */
const MAX_UNREADABLE = 1_000;

interface Limit {
  perS: number | undefined;
  /** When the runner said so last, as far as known. */
  at: number;
  toldAt: number;
  /** When the present span of the log began, and changes since. */
  loggedAt: number;
  lines: number;
  part: Rate;
  /** What the part was worked out from: sharers, and a turn among them. */
  partOf: string;
  /** Requests that this daemon may send, by its part. */
  readonly allowance: TokenBucket;
}

/**
 * The limits that runners name, by the ids of their lives, and this daemon's
 * part of each. The runner that is in need would get as much from each daemon as
 * it takes from all; so daemons tell each other what runners name, and few of
 * them have parts of a small limit.
 *
 * @example
 * ```ts
 * if (limits.mayTake(runner.id, now)) limits.take(runner.id, now);
 * ```
 */
export class RunnerLimits {
  readonly #log: EventLog;
  readonly #sharers: () => FleetView;
  readonly #limits = new Map<string, Limit>();
  readonly #unreadable = new Set<string>();
  #divided: FleetView = { own: "", names: [], fleetSize: 0 };
  /** Changes when the sharers do. */
  #division = 0;
  #lookedAt = -Infinity;
  readonly #listeners: (() => void)[] = [];
  #news = new Set<string>();

  /** @param sharers the daemons among which limits are divided. */
  constructor(log: EventLog, sharers: () => FleetView) {
    this.#log = log;
    this.#sharers = sharers;
  }

  /** Calls `listener` whenever something is heard here that others lack. */
  onUpdate(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Whether any runner has named a limit. */
  get hasLimits(): boolean {
    return this.#limits.size > 0;
  }

  /** Requests a second that a runner takes, if it names a limit. */
  of(runner: string): number | undefined {
    return this.#limits.get(runner)?.perS;
  }

  /** Whether this daemon has a part of a runner's limit, or there is none. */
  hasShare(runner: string, now: number): boolean {
    const limit = this.#limits.get(runner);
    if (limit?.perS === undefined) return true;
    return this.#partOf(runner, limit, now).perSecond > 0;
  }

  /** Whether a request may be sent to a runner now. */
  allowsRequest(runner: string, now: number): boolean {
    const limit = this.#limits.get(runner);
    if (limit?.perS === undefined) return true;
    this.#partOf(runner, limit, now);
    return limit.allowance.available(now) >= 1;
  }

  /** Counts a request that is sent to a runner. */
  recordRequest(runner: string, now: number): void {
    const limit = this.#limits.get(runner);
    if (limit?.perS === undefined) return;
    this.#partOf(runner, limit, now);
    limit.allowance.take(1);
  }

  /**
   * Takes what an answer of a runner says, or that it says nothing.
   *
   * @param times steady ms; an answer to a request that was sent before the
   * runner named its limit does not end it.
   */
  recordStated(
    runner: string,
    stated: StatedLimit | undefined,
    times: { readonly sentAt: number; readonly now: number },
  ): void {
    const { sentAt, now } = times;
    if (stated?.kind === "unreadable") {
      return this.#leaveOut(runner, stated.text);
    }
    const limit = this.#limits.get(runner);
    if (stated === undefined) {
      const named = limit?.perS !== undefined && sentAt > limit.at;
      if (named) this.#note({ runner, perS: undefined, at: now }, now);
      return;
    }
    const { perS } = stated;
    const again = limit?.perS === perS && now - limit.toldAt < TELL_AGAIN_MS;
    if (again) limit.at = now;
    else this.#note({ runner, perS, at: now }, now);
  }

  /**
   * Takes what other daemons have heard.
   *
   * @returns what was not known here, to be passed on.
   */
  applyUpdates(
    news: readonly LimitUpdate[],
    now: number,
  ): readonly LimitUpdate[] {
    return news.filter((each) => this.#isNew(each) && this.#set(each, now));
  }

  /** What was heard here since the last call. */
  takeUpdates(): readonly LimitUpdate[] {
    const news = [...this.#news];
    this.#news = new Set();
    return news.flatMap((runner) => this.#newsOf(runner));
  }

  /** All that a daemon needs to know that has just been met. */
  snapshot(now: number): readonly LimitUpdate[] {
    return [...this.#limits.keys()]
      .flatMap((runner) => this.#newsOf(runner))
      .filter(({ perS, at }) => perS !== undefined || now - at < ENDED_MS);
  }

  /** Forgets runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const known of [this.#limits, this.#unreadable]) {
      for (const id of known.keys()) {
        if (!ids.has(id)) known.delete(id);
      }
    }
  }

  #newsOf(runner: string): readonly LimitUpdate[] {
    const limit = this.#limits.get(runner);
    if (limit === undefined) return [];
    return [{ runner, perS: limit.perS, at: limit.at }];
  }

  #isNew({ runner, perS, at }: LimitUpdate): boolean {
    const known = this.#limits.get(runner);
    if (known === undefined) return perS !== undefined;
    if (at <= known.at) return false;
    // What stays is told again now and then, and comes by several ways.
    return perS !== known.perS || at - known.at > TELL_AGAIN_MS / 2;
  }

  /** Notes what was heard here, and tells others. */
  #note(news: LimitUpdate, now: number): void {
    this.#set(news, now);
    this.#news.add(news.runner);
    for (const listener of this.#listeners) listener();
  }

  #set({ runner, perS, at }: LimitUpdate, now: number): true {
    const known = this.#limits.get(runner);
    const limit = known ?? unlimited();
    this.#limits.set(runner, limit);
    const before = limit.perS;
    limit.perS = perS;
    limit.at = at;
    limit.toldAt = now;
    if (perS !== before) this.#changed(runner, limit, { before, now });
    return true;
  }

  #changed(runner: string, limit: Limit, change: {
    readonly before: number | undefined;
    readonly now: number;
  }): void {
    const { before, now } = change;
    // What is saved up while nothing is limited must not be sent at once.
    if (before === undefined) limit.allowance.empty(now);
    limit.partOf = "";
    if (!mayLog(limit, now)) return;
    this.#log.event("runner_limit_changed", {
      runner,
      per_s: limit.perS,
      before,
      own_per_s: limit.perS && this.#partOf(runner, limit, now).perSecond,
      age_ms: Math.round(now - limit.at),
    });
  }

  /** This daemon's part, worked out again when daemons come or go. */
  #partOf(runner: string, limit: Limit, now: number): Rate {
    this.#look(now);
    const turn = Math.floor(Math.max(0, now - limit.at) / SILENT_MS);
    const from = `${this.#division}/${turn}`;
    if (limit.partOf === from) return limit.part;
    limit.part = shareOf(`${runner}/${turn}`, limit.perS!, this.#divided);
    limit.partOf = from;
    limit.allowance.setRate(limit.part, now);
    return limit.part;
  }

  #look(now: number): void {
    if (now - this.#lookedAt < LOOK_MS) return;
    this.#lookedAt = now;
    const sharers = this.#sharers();
    if (isDeepStrictEqual(sharers, this.#divided)) return;
    this.#divided = sharers;
    this.#division += 1;
  }

  #leaveOut(runner: string, text: string): void {
    if (this.#unreadable.has(runner)) return;
    if (this.#unreadable.size >= MAX_UNREADABLE) return;
    this.#unreadable.add(runner);
    this.#log.event("runner_limit_unreadable", { runner, text });
  }
}

/** A runner may name another limit in each answer, or one in each second one. */
function mayLog(limit: Limit, now: number): boolean {
  if (now - limit.loggedAt >= LOG_MS) {
    limit.loggedAt = now;
    limit.lines = 0;
  }
  limit.lines += 1;
  return limit.lines <= MAX_LINES;
}

function unlimited(): Limit {
  return {
    perS: undefined,
    at: -Infinity,
    toldAt: -Infinity,
    loggedAt: -Infinity,
    lines: 0,
    part: NO_SHARE,
    partOf: "",
    allowance: new TokenBucket(NO_SHARE),
  };
}
