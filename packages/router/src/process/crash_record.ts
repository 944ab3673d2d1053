/**
 * Record of requests that were running when runners crashed, and quarantine of
 * those that crash runners repeatedly, or of the parts of prompts that do.
 *
 * @module
 */
import {
  EMPTY_ENTRY,
  isBlamed,
  quarantineMs,
  withCompletion,
  withRun,
} from "./crash_entry.ts";
import type {
  CompleteResponse,
  CrashedRun,
  CrashEntry,
} from "./crash_entry.ts";
import type { EventLog } from "./event_log.ts";
import { isPart } from "./suspect.ts";
import type { Suspect } from "./suspect.ts";

/** Crashes and complete responses, as exchanged between daemons. */
export interface CrashUpdate {
  readonly crashed: readonly CrashedRun[];
  /** Completed runs of requests that have crashed runners as well. */
  readonly responses: readonly CompleteResponse[];
}

/** Why a request is not sent. */
export interface Quarantine {
  /** The request, or the part of its prompt, that is to blame. */
  readonly suspect: Suspect;
  /** Consecutive crashes of runners that ran the request. */
  readonly crashes: number;
  /** Time of the last crash, in monotonic ms. */
  readonly lastCrashAt: number;
  /** Milliseconds until the request may be sent again. */
  readonly leftMs: number;
}

/**
 * Milliseconds for which crashes and complete responses are kept. A request that is
 * sent again after its quarantine is quarantined at the next crash.
 */
const RETENTION_MS = 3_600_000;
/** Maximum number of suspects kept for crashes: 2.6 MB, with eight runs each. */
const MAX_SUSPECTS = 2_000;
/** Maximum number of completed suspects kept: 0.5 MB. */
const MAX_COMPLETED = 8_000;
/** Maximum number of runs sent to a daemon that has just connected. */
const MAX_SNAPSHOT_RUNS = 200;
/**
 * Milliseconds within which two complete responses count as one: updates arrive
 * over several paths, and each path yields a slightly different age.
 */
const SAME_RESPONSE_MS = 2_000;

/**
 * Counts, for each request that was at a crashing runner, and for each part of its
 * prompt that others may share, the consecutive crashes. A request that crashes any
 * runner is retried at any daemon, with another id each time, and a part that does so
 * comes in requests that are never alike. Health tracking of runners alone would send
 * them to the next healthy runner as long as they come.
 *
 * All requests at a crashing runner are suspect, and so are the parts. What caused the
 * crash differs from the rest in that it is sent again and the next runner crashes as
 * well, whereas the others see one crash, or complete in between.
 *
 * @example
 * ```ts
 * const record = new CrashRecord(log);
 * record.recordCrashes(runs, performance.now());
 * record.quarantine(suspect, performance.now())?.leftMs;
 * ```
 */
export class CrashRecord {
  readonly #log: EventLog;
  /** By suspect, in the order in which their last crashes were recorded. */
  readonly #entries = new Map<Suspect, CrashEntry>();
  /** Time of the last complete response by suspect, oldest first. */
  readonly #completedAt = new Map<Suspect, number>();
  readonly #listeners: (() => void)[] = [];
  /** Callbacks for the quarantine of a request, by suspect. */
  readonly #watchers = new Map<Suspect, Set<() => void>>();
  #crashUpdates: CrashedRun[] = [];
  #responseUpdates: CompleteResponse[] = [];

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Calls `listener` when this daemon has an update for other daemons. */
  onUpdate(listener: () => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Returns the quarantine that lasts longest of a request's suspects, if any: the
   * request must not be sent now.
   */
  quarantineOf(
    suspects: readonly Suspect[],
    now: number,
  ): Quarantine | undefined {
    if (this.#entries.size === 0) return undefined;
    let longest: Quarantine | undefined;
    for (const suspect of suspects) {
      const quarantine = this.quarantine(suspect, now);
      if (quarantine === undefined) continue;
      if (longest !== undefined && longest.leftMs >= quarantine.leftMs) {
        continue;
      }
      longest = quarantine;
    }
    return longest;
  }

  /** Returns the quarantine of a suspect, if any. */
  quarantine(suspect: Suspect, now: number): Quarantine | undefined {
    const entry = this.#entries.get(suspect);
    if (entry === undefined || !isBlamed(entry)) return undefined;
    const { crashes, lastCrashAt } = entry;
    const leftMs = lastCrashAt + quarantineMs(suspect, entry) - now;
    return leftMs > 0 ? { suspect, crashes, lastCrashAt, leftMs } : undefined;
  }

  /**
   * Calls `quarantined` when one of a request's suspects is quarantined.
   *
   * @returns a function that ends the watch.
   */
  watch(suspects: readonly Suspect[], quarantined: () => void): () => void {
    for (const suspect of suspects) {
      const watchers = this.#watchers.get(suspect) ?? new Set();
      this.#watchers.set(suspect, watchers);
      watchers.add(quarantined);
    }
    return () => {
      for (const suspect of suspects) {
        const watchers = this.#watchers.get(suspect);
        watchers?.delete(quarantined);
        if (watchers?.size === 0) this.#watchers.delete(suspect);
      }
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
  recordResponse(suspects: readonly Suspect[], now: number): void {
    for (const suspect of suspects) {
      this.#rememberCompletion({ suspect, at: now });
      const entry = this.#entries.get(suspect);
      if (entry === undefined || entry.crashes === 0) continue;
      this.#publishResponse({ suspect, at: now });
    }
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
      const [suspect, { runs, completedAt }] of [
        ...blamed,
        ...others,
      ]
    ) {
      if (crashed.length + runs.length > MAX_SNAPSHOT_RUNS) break;
      crashed.push(...runs);
      if (completedAt !== undefined) {
        responses.push({ suspect, at: completedAt });
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
    const { suspect } = run;
    this.#evict(now);
    const before = this.#entries.get(suspect) ?? EMPTY_ENTRY;
    const wasQuarantined = this.quarantine(suspect, now) !== undefined;
    if (now - run.endedAt > RETENTION_MS) return false;
    const after = withRun(before, run);
    if (after === undefined) return false;
    const completedBefore = before.completedAt === undefined &&
      this.#completedAt.has(suspect);
    this.#entries.delete(suspect);
    this.#entries.set(suspect, after);
    if (completedBefore) {
      this.#publishResponse({
        suspect,
        at: this.#completedAt.get(suspect)!,
      });
    }
    const isNew = !wasQuarantined &&
      this.quarantine(suspect, now) !== undefined;
    if (isNew) this.#startQuarantine(suspect);
    return true;
  }

  /** Records that a request completed, and queues this for other daemons. */
  #publishResponse(run: CompleteResponse): void {
    if (!this.#recordCompletion(run)) return;
    this.#responseUpdates.push(run);
    this.#notify();
  }

  #applyResponse(run: CompleteResponse): boolean {
    const known = this.#completedAt.get(run.suspect) ?? -Infinity;
    const isNew = run.at - known > SAME_RESPONSE_MS;
    if (isNew) this.#rememberCompletion(run);
    const before = this.#entries.get(run.suspect)?.crashes;
    this.#recordCompletion(run);
    return isNew || this.#entries.get(run.suspect)?.crashes !== before;
  }

  /** @returns whether the entry has changed. */
  #recordCompletion({ suspect, at }: CompleteResponse): boolean {
    const prev = this.#entries.get(suspect);
    if (prev === undefined) return false;
    if (prev.completedAt !== undefined && at <= prev.completedAt) return false;
    this.#entries.set(suspect, withCompletion(prev, at));
    return true;
  }

  #rememberCompletion({ suspect, at }: CompleteResponse): void {
    this.#completedAt.delete(suspect);
    this.#completedAt.set(suspect, at);
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
    for (const [suspect, { lastCrashAt }] of this.#entries) {
      if (now - lastCrashAt <= RETENTION_MS) break;
      this.#entries.delete(suspect);
    }
    for (const keepBlamed of [true, false]) {
      for (const [suspect, entry] of this.#entries) {
        if (this.#entries.size <= MAX_SUSPECTS) return;
        if (keepBlamed && isBlamed(entry)) continue;
        this.#entries.delete(suspect);
      }
    }
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }

  /** Notifies the watchers of a suspect that its quarantine has started. */
  #startQuarantine(suspect: Suspect): void {
    const entry = this.#entries.get(suspect)!;
    for (const watcher of this.#watchers.get(suspect) ?? []) watcher();
    const fields = {
      ends: entry.crashes,
      runners: entry.runs.map(({ runner }) => runner).join(","),
      span_ms: Math.round(entry.lastCrashAt - entry.runs[0]!.startedAt),
      answered_before: entry.completedAt !== undefined,
    };
    if (isPart(suspect)) {
      this.#log.event("prompt_part_quarantined", { part: suspect, ...fields });
    } else {
      this.#log.event("request_quarantined", {
        fingerprint: suspect,
        ...fields,
      });
    }
  }
}
