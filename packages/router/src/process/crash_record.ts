/**
 * Which requests were at runners when these ended, and which are therefore not
 * sent any more.
 *
 * @module
 */
import { isBlamed, NO_ENDS, withAnswer, withRun } from "./crash_entry.ts";
import type {
  CompleteResponse,
  CrashedRun,
  CrashEntry,
} from "./crash_entry.ts";
import type { EventLog } from "./event_log.ts";

/** What is to be told to other daemons, or was told by one. */
export interface CrashUpdate {
  readonly crashed: readonly CrashedRun[];
  /** Runs of requests that were at runners which ended before or after. */
  readonly answers: readonly CompleteResponse[];
}

/** Why a request is not sent. */
export interface Quarantine {
  /** Runners that ended under it, one after the other. */
  readonly crashes: number;
  /** Steady ms of the last of these ends. */
  readonly lastCrashAt: number;
  /** Milliseconds after which it may be sent again. */
  readonly leftMs: number;
}

/** Milliseconds after the last end for which a request is not sent. */
const QUARANTINE_MS = 600_000;
/**
 * Milliseconds for which ends, and whole answers, are remembered. A request that
 * is sent again after its quarantine goes back to it at the first end.
 */
const MEMORY_MS = 3_600_000;
/** Requests that are remembered: 2.6 MB at most, with eight runs of each. */
const MAX_REQUESTS = 2_000;
/** Requests answered whole that are remembered: 0.24 MB. */
const MAX_ANSWERS = 4_000;
/** Runs of which a daemon is told that has just been met. */
const MAX_TOLD = 200;
/**
 * Milliseconds between two whole answers that count as one: what is told of them
 * goes several ways, and each gives it another age.
 */
const SAME_ANSWER_MS = 2_000;

/**
 * Remembers, for each request that was at a runner which ended, at how many
 * runners that happened in turn. A request that crashes whatever runs it comes
 * again at any daemon, with another id each time: what is remembered of runners
 * alone has it sent to the next sound runner for as long as it comes.
 *
 * All that is at a runner that ends is suspect. What tells the one that caused it
 * from the others is that it was sent again after an end and the next runner
 * ended as well: others are at one end, or are answered in between.
 *
 * @example
 * ```ts
 * const record = new CrashRecord(log);
 * record.crashed(runs, performance.now());
 * record.quarantine(fingerprint, performance.now())?.leftMs;
 * ```
 */
export class CrashRecord {
  readonly #log: EventLog;
  /** By fingerprint, the one whose last end was noted first, first. */
  readonly #entries = new Map<string, CrashEntry>();
  /** When requests were last answered whole, the oldest first. */
  readonly #answers = new Map<string, number>();
  readonly #listeners: (() => void)[] = [];
  /** Called when a request is quarantined, by its fingerprint. */
  readonly #watchers = new Map<string, Set<() => void>>();
  #crashedNews: CrashedRun[] = [];
  #answerNews: CompleteResponse[] = [];

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Calls `listener` whenever something is noted here that others lack. */
  onUpdate(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Why a request must not be sent to any runner now, if so. */
  quarantine(fingerprint: string, now: number): Quarantine | undefined {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined || !isBlamed(entry)) return undefined;
    const { ends, lastEndAt } = entry;
    const leftMs = lastEndAt + QUARANTINE_MS - now;
    return leftMs > 0
      ? { crashes: ends, lastCrashAt: lastEndAt, leftMs }
      : undefined;
  }

  /**
   * Calls `quarantined` if the request is quarantined from now on.
   *
   * @returns what ends the watch.
   */
  watch(fingerprint: string, quarantined: () => void): () => void {
    const watchers = this.#watchers.get(fingerprint) ?? new Set();
    this.#watchers.set(fingerprint, watchers);
    watchers.add(quarantined);
    return () => {
      watchers.delete(quarantined);
      if (watchers.size === 0) this.#watchers.delete(fingerprint);
    };
  }

  /** Notes requests of this daemon that were at a runner when it ended. */
  recordCrashes(runs: readonly CrashedRun[], now: number): void {
    const news = runs.filter((run) => this.#add(run, now));
    if (news.length === 0) return;
    this.#crashedNews.push(...news);
    this.#tell();
  }

  /** Notes that a runner has answered a request whole, here. */
  recordResponse(fingerprint: string, now: number): void {
    this.#remember({ fingerprint, at: now });
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined || entry.ends === 0) return;
    this.#vouch({ fingerprint, at: now });
  }

  /**
   * Takes what another daemon tells.
   *
   * @returns what was not known here, to be passed on.
   */
  applyUpdate({ crashed, answers }: CrashUpdate, now: number): CrashUpdate {
    return {
      crashed: crashed.filter((run) => this.#add(run, now)),
      answers: answers.filter((run) => this.#takeAnswer(run)),
    };
  }

  /** What was noted here since the last call. */
  takeUpdates(): CrashUpdate {
    const news = { crashed: this.#crashedNews, answers: this.#answerNews };
    this.#crashedNews = [];
    this.#answerNews = [];
    return news;
  }

  /**
   * What a daemon needs to know that has just been met: first of requests that
   * are not sent any more, then what was noted last.
   */
  snapshot(now: number): CrashUpdate {
    this.#forgetOld(now);
    const entries = [...this.#entries].reverse();
    const blamed = entries.filter(([, entry]) => isBlamed(entry));
    const others = entries.filter(([, entry]) => !isBlamed(entry));
    const crashed: CrashedRun[] = [];
    const answers: CompleteResponse[] = [];
    for (const [fingerprint, { runs, answeredAt }] of [...blamed, ...others]) {
      if (crashed.length + runs.length > MAX_TOLD) break;
      crashed.push(...runs);
      if (answeredAt !== undefined) {
        answers.push({ fingerprint, at: answeredAt });
      }
    }
    return { crashed, answers };
  }

  /** @returns whether the run was not known. */
  #add(run: CrashedRun, now: number): boolean {
    const { fingerprint, runner } = run;
    this.#forgetOld(now);
    const before = this.#entries.get(fingerprint) ?? NO_ENDS;
    const held = this.quarantine(fingerprint, now) !== undefined;
    if (now - run.endedAt > MEMORY_MS) return false;
    if (before.runs.some((each) => each.runner === runner)) return false;
    const vouched = before.answeredAt === undefined &&
      this.#answers.has(fingerprint);
    this.#entries.delete(fingerprint);
    this.#entries.set(fingerprint, withRun(before, run));
    if (vouched) {
      this.#vouch({ fingerprint, at: this.#answers.get(fingerprint)! });
    }
    const begins = !held && this.quarantine(fingerprint, now) !== undefined;
    if (begins) this.#quarantined(fingerprint);
    return true;
  }

  /** Has it known here and elsewhere that a request does not end runners. */
  #vouch(run: CompleteResponse): void {
    if (!this.#clear(run)) return;
    this.#answerNews.push(run);
    this.#tell();
  }

  #takeAnswer(run: CompleteResponse): boolean {
    const known = this.#answers.get(run.fingerprint) ?? -Infinity;
    if (run.at - known <= SAME_ANSWER_MS) return false;
    this.#remember(run);
    this.#clear(run);
    return true;
  }

  /** @returns whether it changes what is known. */
  #clear({ fingerprint, at }: CompleteResponse): boolean {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) return false;
    if (entry.answeredAt !== undefined && at <= entry.answeredAt) return false;
    this.#entries.set(fingerprint, withAnswer(entry, at));
    return true;
  }

  #remember({ fingerprint, at }: CompleteResponse): void {
    this.#answers.delete(fingerprint);
    this.#answers.set(fingerprint, at);
    for (const [oldest, since] of this.#answers) {
      const old = at - since > MEMORY_MS;
      if (!old && this.#answers.size <= MAX_ANSWERS) break;
      this.#answers.delete(oldest);
    }
  }

  /** Makes room, first of what is too old, then of requests that are still sent. */
  #forgetOld(now: number): void {
    for (const [fingerprint, { lastEndAt }] of this.#entries) {
      if (now - lastEndAt <= MEMORY_MS) break;
      this.#entries.delete(fingerprint);
    }
    for (const unblamed of [true, false]) {
      for (const [fingerprint, entry] of this.#entries) {
        if (this.#entries.size <= MAX_REQUESTS) return;
        if (unblamed && isBlamed(entry)) continue;
        this.#entries.delete(fingerprint);
      }
    }
  }

  #tell(): void {
    for (const listener of this.#listeners) listener();
  }

  #quarantined(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint)!;
    for (const watcher of this.#watchers.get(fingerprint) ?? []) watcher();
    this.#log.event("request_quarantined", {
      fingerprint,
      ends: entry.ends,
      runners: entry.runs.map(({ runner }) => runner).join(","),
      span_ms: Math.round(entry.lastEndAt - entry.runs[0]!.startedAt),
      answered_before: entry.answeredAt !== undefined,
    });
  }
}
