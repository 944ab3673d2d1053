/**
 * Record of requests that were running when runners crashed, and quarantine of
 * those that crash runners repeatedly.
 *
 * @module
 */
import {
  EMPTY_ENTRY,
  isBlamed,
  withCompletion,
  withRun,
} from "./crash_entry.ts";
import type {
  CompleteResponse,
  CrashedRun,
  CrashEntry,
} from "./crash_entry.ts";
import type { EventLog } from "./event_log.ts";

/** Crashes and complete responses, as exchanged between daemons. */
export interface CrashUpdate {
  readonly crashed: readonly CrashedRun[];
  /** Completed runs of requests that have crashed runners as well. */
  readonly responses: readonly CompleteResponse[];
}

/** Why a request is not sent. */
export interface Quarantine {
  /** Consecutive crashes of runners that ran the request. */
  readonly crashes: number;
  /** Time of the last crash, in monotonic ms. */
  readonly lastCrashAt: number;
  /** Milliseconds until the request may be sent again. */
  readonly leftMs: number;
}

/** Duration of a quarantine in ms, from the last crash. */
const QUARANTINE_MS = 600_000;
/**
 * Milliseconds for which crashes and complete responses are kept. A request that is
 * sent again after its quarantine is quarantined at the next crash.
 */
const RETENTION_MS = 3_600_000;
/** Maximum number of requests kept for crashes: 2.6 MB, with eight runs each. */
const MAX_REQUESTS = 2_000;
/** Maximum number of completed requests kept: 0.24 MB. */
const MAX_COMPLETED = 4_000;
/** Maximum number of runs sent to a daemon that has just connected. */
const MAX_SNAPSHOT_RUNS = 200;
/**
 * Milliseconds within which two complete responses count as one: updates arrive
 * over several paths, and each path yields a slightly different age.
 */
const SAME_RESPONSE_MS = 2_000;

/**
 * Counts, for each request that was at a crashing runner, the consecutive
 * crashes. A request that crashes any runner is retried at any daemon, with
 * another id each time. Health tracking of runners alone would send it to the
 * next healthy runner as long as it is retried.
 *
 * All requests at a crashing runner are suspect. The one that caused the crash
 * differs from the others in that it is sent again and the next runner crashes
 * as well, whereas the others see one crash, or complete in between.
 *
 * @example
 * ```ts
 * const record = new CrashRecord(log);
 * record.recordCrashes(runs, performance.now());
 * record.quarantine(fingerprint, performance.now())?.leftMs;
 * ```
 */
export class CrashRecord {
  readonly #log: EventLog;
  /** By fingerprint, in the order in which their last crashes were recorded. */
  readonly #entries = new Map<string, CrashEntry>();
  /** Time of the last complete response by fingerprint, oldest first. */
  readonly #completedAt = new Map<string, number>();
  readonly #listeners: (() => void)[] = [];
  /** Callbacks for the quarantine of a request, by fingerprint. */
  readonly #watchers = new Map<string, Set<() => void>>();
  #crashUpdates: CrashedRun[] = [];
  #responseUpdates: CompleteResponse[] = [];

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Calls `listener` when this daemon has an update for other daemons. */
  onUpdate(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /** Returns the quarantine of a request that must not be sent now, if any. */
  quarantine(fingerprint: string, now: number): Quarantine | undefined {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined || !isBlamed(entry)) return undefined;
    const { crashes, lastCrashAt } = entry;
    const leftMs = lastCrashAt + QUARANTINE_MS - now;
    return leftMs > 0 ? { crashes, lastCrashAt, leftMs } : undefined;
  }

  /**
   * Calls `quarantined` when the request is quarantined.
   *
   * @returns a function that ends the watch.
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

  /** Records requests of this daemon that were at a runner when it crashed. */
  recordCrashes(runs: readonly CrashedRun[], now: number): void {
    const added = runs.filter((run) => this.#add(run, now));
    if (added.length === 0) return;
    this.#crashUpdates.push(...added);
    this.#notify();
  }

  /** Records that a runner has completed a request of this daemon. */
  recordResponse(fingerprint: string, now: number): void {
    this.#rememberCompletion({ fingerprint, at: now });
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined || entry.crashes === 0) return;
    this.#publishResponse({ fingerprint, at: now });
  }

  /**
   * Applies an update from another daemon.
   *
   * @returns the part that was new to this daemon, to be forwarded.
   */
  applyUpdate(
    { crashed, responses }: CrashUpdate,
    now: number,
  ): CrashUpdate {
    return {
      crashed: crashed.filter((run) => this.#add(run, now)),
      responses: responses.filter((run) => this.#applyResponse(run)),
    };
  }

  /** Returns the updates that originated here since the last call. */
  takeUpdates(): CrashUpdate {
    const update = {
      crashed: this.#crashUpdates,
      responses: this.#responseUpdates,
    };
    this.#crashUpdates = [];
    this.#responseUpdates = [];
    return update;
  }

  /**
   * Returns the state for a daemon that has just connected: first quarantined
   * requests, then the most recently recorded ones.
   */
  snapshot(now: number): CrashUpdate {
    this.#evict(now);
    const entries = [...this.#entries].reverse();
    const blamed = entries.filter(([, entry]) => isBlamed(entry));
    const others = entries.filter(([, entry]) => !isBlamed(entry));
    const crashed: CrashedRun[] = [];
    const responses: CompleteResponse[] = [];
    for (
      const [fingerprint, { runs, completedAt }] of [
        ...blamed,
        ...others,
      ]
    ) {
      if (crashed.length + runs.length > MAX_SNAPSHOT_RUNS) break;
      crashed.push(...runs);
      if (completedAt !== undefined) {
        responses.push({ fingerprint, at: completedAt });
      }
    }
    return { crashed, responses };
  }

  /**
   * Adds a run of a request at a runner that crashed.
   *
   * @returns whether the run was new.
   */
  #add(run: CrashedRun, now: number): boolean {
    const { fingerprint, runner } = run;
    this.#evict(now);
    const before = this.#entries.get(fingerprint) ?? EMPTY_ENTRY;
    const wasQuarantined = this.quarantine(fingerprint, now) !== undefined;
    if (now - run.endedAt > RETENTION_MS) return false;
    if (before.runs.some((known) => known.runner === runner)) return false;
    const completedBefore = before.completedAt === undefined &&
      this.#completedAt.has(fingerprint);
    this.#entries.delete(fingerprint);
    this.#entries.set(fingerprint, withRun(before, run));
    if (completedBefore) {
      this.#publishResponse({
        fingerprint,
        at: this.#completedAt.get(fingerprint)!,
      });
    }
    const isNew = !wasQuarantined &&
      this.quarantine(fingerprint, now) !== undefined;
    if (isNew) this.#startQuarantine(fingerprint);
    return true;
  }

  /** Records that a request completed, and queues this for other daemons. */
  #publishResponse(run: CompleteResponse): void {
    if (!this.#recordCompletion(run)) return;
    this.#responseUpdates.push(run);
    this.#notify();
  }

  #applyResponse(run: CompleteResponse): boolean {
    const known = this.#completedAt.get(run.fingerprint) ?? -Infinity;
    if (run.at - known <= SAME_RESPONSE_MS) return false;
    this.#rememberCompletion(run);
    this.#recordCompletion(run);
    return true;
  }

  /** @returns whether the entry has changed. */
  #recordCompletion({ fingerprint, at }: CompleteResponse): boolean {
    const prev = this.#entries.get(fingerprint);
    if (prev === undefined) return false;
    if (prev.completedAt !== undefined && at <= prev.completedAt) return false;
    this.#entries.set(fingerprint, withCompletion(prev, at));
    return true;
  }

  #rememberCompletion({ fingerprint, at }: CompleteResponse): void {
    this.#completedAt.delete(fingerprint);
    this.#completedAt.set(fingerprint, at);
    for (const [oldest, since] of this.#completedAt) {
      const old = at - since > RETENTION_MS;
      if (!old && this.#completedAt.size <= MAX_COMPLETED) break;
      this.#completedAt.delete(oldest);
    }
  }

  /**
   * Evicts expired entries; if too many remain, the oldest, blamed ones last.
   */
  #evict(now: number): void {
    for (const [fingerprint, { lastCrashAt }] of this.#entries) {
      if (now - lastCrashAt <= RETENTION_MS) break;
      this.#entries.delete(fingerprint);
    }
    for (const keepBlamed of [true, false]) {
      for (const [fingerprint, entry] of this.#entries) {
        if (this.#entries.size <= MAX_REQUESTS) return;
        if (keepBlamed && isBlamed(entry)) continue;
        this.#entries.delete(fingerprint);
      }
    }
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  /** Notifies the watchers of a request that its quarantine has started. */
  #startQuarantine(fingerprint: string): void {
    const entry = this.#entries.get(fingerprint)!;
    for (const watcher of this.#watchers.get(fingerprint) ?? []) watcher();
    this.#log.event("request_quarantined", {
      fingerprint,
      ends: entry.crashes,
      runners: entry.runs.map(({ runner }) => runner).join(","),
      span_ms: Math.round(entry.lastCrashAt - entry.runs[0]!.startedAt),
      answered_before: entry.completedAt !== undefined,
    });
  }
}
