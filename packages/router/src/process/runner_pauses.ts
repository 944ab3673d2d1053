/**
 * Pauses that runners ask this daemon for.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/**
 * Milliseconds after the first request that follows a pause in which no other
 * one is sent. A runner that is still overloaded refuses the first one within a
 * few milliseconds; without this, all waiting requests would be refused with it.
 */
const TRIAL_MS = 100;

interface Pause {
  /** End of the pause, in monotonic ms. */
  until: number;
  /** When the first request after the pause was sent, in monotonic ms. */
  trialAt: number | undefined;
}

/**
 * Keeps requests of this daemon from runners that asked it for a pause. A runner
 * that refuses everything has nothing in flight and would otherwise look best.
 * Pauses are not exchanged: a runner asks each daemon for its own.
 *
 * @example
 * ```ts
 * if (pauses.allowsRequest(id, now)) pauses.recordRequest(id, now);
 * ```
 */
export class RunnerPauses {
  readonly #log: EventLog;
  readonly #pauses = new Map<string, Pause>();

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Whether any runner is paused or was until its first request since. */
  get hasPauses(): boolean {
    return this.#pauses.size > 0;
  }

  /** Whether requests to a runner have been held back, and may still be. */
  isRestricted(runner: string): boolean {
    return this.#pauses.has(runner);
  }

  /** Whether this daemon may send a request to a runner at a time, as far as known. */
  allowsRequest(runner: string, at: number): boolean {
    return this.#allowedAt(runner) <= at;
  }

  /**
   * Milliseconds since the end of a runner's pause after which no request has been
   * sent; undefined if the runner does not await its first request.
   */
  awaitingTrialMs(runner: string, now: number): number | undefined {
    const pause = this.#pauses.get(runner);
    const awaits = pause !== undefined && pause.trialAt === undefined &&
      pause.until <= now;
    return awaits ? now - pause.until : undefined;
  }

  /** Records that a request is sent to a runner. */
  recordRequest(runner: string, now: number): void {
    const pause = this.#pauses.get(runner);
    if (pause === undefined) return;
    if (pause.trialAt === undefined) pause.trialAt = now;
    else this.#pauses.delete(runner);
  }

  /**
   * Records that a runner asks for a pause. A shorter one does not end a longer
   * one.
   */
  recordAsked(runner: string, pauseMs: number, now: number): void {
    const known = this.#pauses.get(runner);
    const until = Math.max(known?.until ?? 0, now + pauseMs);
    this.#pauses.set(runner, { until, trialAt: undefined });
    // Requests that were sent before the first refusal are refused, too.
    const paused = known !== undefined && known.until > now;
    if (paused) return;
    this.#log.event("runner_paused", {
      runner,
      pause_ms: Math.round(pauseMs),
      again: known !== undefined,
    });
  }

  /** Deletes ended pauses of runners that are not listed. */
  retain(ids: ReadonlySet<string>, now: number): void {
    for (const [runner, { until }] of this.#pauses) {
      if (!ids.has(runner) && until <= now) this.#pauses.delete(runner);
    }
  }

  /** Time from which a runner accepts a request, in monotonic ms. */
  #allowedAt(runner: string): number {
    const pause = this.#pauses.get(runner);
    if (pause === undefined) return -Infinity;
    const { until, trialAt } = pause;
    return trialAt === undefined ? until : trialAt + TRIAL_MS;
  }
}
