/**
 * When runners last responded to this daemon on direct connections.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** Different runners in a row that fail before the daemon seems to reach none. */
const RUNNERS_TO_SUSPECT = 2;
/** Minimum time in ms without a response before that is logged. */
const MIN_SILENCE_MS = 500;

/**
 * Tells failures of single runners from a daemon that reaches none: different
 * runners fail one after the other, and none responds in between.
 *
 * @example
 * ```ts
 * reachability.recordFailure("r-1", { reason: "connect timeout", now });
 * reachability.recordResponse("r-2", now);
 * ```
 */
export class RunnerReachability {
  readonly #log: EventLog;
  /** Runners that failed since any runner last responded. */
  readonly #failed = new Set<string>();
  /** Time of the last response by runner, in monotonic ms. */
  readonly #respondedAt = new Map<string, number>();
  #lastResponseAt: number | undefined;
  /** Requests in flight. */
  #awaited = 0;
  /** Since when requests are in flight and no runner has sent anything. */
  #silentSince = -Infinity;
  #unreachableSince: number | undefined;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Whether several runners failed in a row, and none has responded since. */
  get reachesNone(): boolean {
    return this.#failed.size >= RUNNERS_TO_SUSPECT;
  }

  /** When any runner last responded, in monotonic ms. */
  get lastResponseAt(): number {
    return this.#lastResponseAt ?? -Infinity;
  }

  /** When a runner last responded, in monotonic ms. */
  respondedAt(runner: string): number {
    return this.#respondedAt.get(runner) ?? -Infinity;
  }

  /**
   * Milliseconds for which requests have been in flight without data from any
   * runner.
   */
  silentMs(now: number): number {
    return this.#awaited === 0 ? 0 : now - this.#silentSince;
  }

  /**
   * Records a request that is sent to a runner.
   *
   * @returns a function to call when it is no longer in flight.
   */
  recordSent(now: number): () => void {
    if (this.#awaited === 0) this.#silentSince = now;
    this.#awaited += 1;
    let inFlight = true;
    return () => {
      if (inFlight) this.#awaited -= 1;
      inFlight = false;
    };
  }

  /** Records that a runner has sent something. */
  recordResponse(runner: string, now: number): void {
    this.#respondedAt.set(runner, now);
    this.#lastResponseAt = now;
    this.#silentSince = now;
    this.#failed.clear();
    if (this.#unreachableSince === undefined) return;
    this.#log.event("runners_reachable", {
      after_ms: Math.round(now - this.#unreachableSince),
    });
    this.#unreachableSince = undefined;
  }

  /** Records that a runner did not respond, or interrupted its response. */
  recordFailure(
    runner: string,
    { reason, now }: { readonly reason: string; readonly now: number },
  ): void {
    this.#failed.add(runner);
    const silentMs = now - this.lastResponseAt;
    const unreachable = this.reachesNone && silentMs >= MIN_SILENCE_MS;
    if (!unreachable || this.#unreachableSince !== undefined) return;
    this.#unreachableSince = now;
    this.#log.event("runners_unreachable", {
      runners: [...this.#failed].join(","),
      reason,
      silent_ms: silentMs === Infinity ? undefined : Math.round(silentMs),
    });
  }

  /** Forgets the runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#respondedAt.keys()) {
      if (!ids.has(id)) this.#respondedAt.delete(id);
    }
  }
}
