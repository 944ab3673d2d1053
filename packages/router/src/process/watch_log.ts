/**
 * Logs when a daemon begins and ends to watch the store.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/**
 * Why a daemon watches the store: it has no peers, ranks first in its failure
 * domain, it does so among those that are able to watch, it has neither data nor
 * responses, or its data has not been confirmed for too long.
 */
export type WatchReason =
  | "alone"
  | "rank"
  | "replacement"
  | "no_data"
  | "stale";

/** Logs the beginnings and ends of the watch for one dependency. */
export class WatchLog {
  readonly #log: EventLog;
  readonly #dependency: string;
  #reason: WatchReason | undefined;
  #startedAt = 0;

  constructor(log: EventLog, dependency: string) {
    this.#log = log;
    this.#dependency = dependency;
  }

  /**
   * Records whether this daemon watches now, and why.
   *
   * @param peers number of other daemons that are presumed alive.
   */
  record(reason: WatchReason | undefined, peers: number): void {
    const before = this.#reason;
    this.#reason = reason;
    const dependency = this.#dependency;
    if (before === undefined && reason !== undefined) {
      this.#startedAt = performance.now();
      this.#log.event("store_watch_started", { dependency, reason, peers });
    }
    if (before === undefined || reason !== undefined) return;
    this.#log.event("store_watch_stopped", {
      dependency,
      reason: before,
      after_ms: Math.round(performance.now() - this.#startedAt),
      peers,
    });
  }
}
