/**
 * Whether this daemon reaches any runner at all.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** Runners in a row that cannot be reached before the path is suspected. */
const RUNNERS_TO_SUSPECT = 2;

/**
 * Tells failures of single runners from a daemon that reaches none: different
 * runners fail one after the other, and none responds in between.
 *
 * @example
 * ```ts
 * reachability.recordFailure("r-1", { reason: "connect timeout", now });
 * reachability.recordResponse(now);
 * ```
 */
export class RunnerReachability {
  readonly #log: EventLog;
  /** Runners that failed since any runner last responded. */
  readonly #failed = new Set<string>();
  #respondedAt: number | undefined;
  #unreachableSince: number | undefined;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Whether several runners failed in a row, and none has responded since. */
  get reachesNone(): boolean {
    return this.#failed.size >= RUNNERS_TO_SUSPECT;
  }

  /**
   * Milliseconds since a runner last responded to this daemon; undefined before the
   * first response.
   */
  silentMs(now: number): number | undefined {
    return this.#respondedAt === undefined
      ? undefined
      : now - this.#respondedAt;
  }

  /** Records that a runner has responded. */
  recordResponse(now: number): void {
    this.#respondedAt = now;
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
    if (!this.reachesNone || this.#unreachableSince !== undefined) return;
    this.#unreachableSince = now;
    const silentMs = this.silentMs(now);
    this.#log.event("runners_unreachable", {
      runners: [...this.#failed].join(","),
      reason,
      silent_ms: silentMs === undefined ? undefined : Math.round(silentMs),
    });
  }
}
