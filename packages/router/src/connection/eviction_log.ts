/**
 * Logs connections that are closed to make room.
 *
 * @module
 */
import type { EventLog } from "../process/event_log.ts";
import type { EvictionReason } from "./connection_pool.ts";

/** Minimum time in ms between two lines of a server. */
const LOG_INTERVAL_MS = 10_000;

/** Logs the evictions of one server, many of them in one line. */
export class EvictionLog {
  readonly #log: EventLog;
  readonly #server: string;
  readonly #counts = { connections: 0, held_bytes: 0 };
  #loggedAt = -Infinity;

  /** @param server name of the server in the log. */
  constructor(log: EventLog, server: string) {
    this.#log = log;
    this.#server = server;
  }

  /** Counts an eviction; at most one line is written in ten seconds. */
  add(reason: EvictionReason): void {
    this.#counts[reason] += 1;
    const now = performance.now();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now;
    this.#log.event("connections_evicted", {
      server: this.#server,
      ...this.#counts,
    });
  }
}
