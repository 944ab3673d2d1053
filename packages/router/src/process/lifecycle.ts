/**
 * Lifecycle of the process: readiness and graceful shutdown.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** Tracks whether the daemon accepts traffic, and the reasons if it does not. */
export class Lifecycle {
  readonly #log: EventLog;
  readonly #requirements = new Map<string, () => boolean>();
  #shuttingDown = false;
  #closed = false;
  #ready = false;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Adds a requirement for the daemon to be ready. */
  addRequirement(name: string, met: () => boolean): void {
    this.#requirements.set(name, met);
  }

  /** Whether the daemon has received SIGTERM. */
  get shuttingDown(): boolean {
    return this.#shuttingDown;
  }

  /** Whether requests are refused, as the time to accept them after SIGTERM is over. */
  get closed(): boolean {
    return this.#closed;
  }

  /** Refuses requests from now on, as they might not end before the kill. */
  close(): void {
    this.#closed = true;
  }

  /** Returns the names of unmet requirements; empty if the daemon is ready. */
  missing(): readonly string[] {
    const missing = [...this.#requirements]
      .filter(([, met]) => !met())
      .map(([name]) => name);
    if (this.#shuttingDown) missing.push("leaving");
    this.#logChange(missing);
    return missing;
  }

  /** Makes the daemon not ready from now on. */
  startShutdown(): void {
    this.#shuttingDown = true;
    this.missing();
  }

  #logChange(missing: readonly string[]): void {
    const ready = missing.length === 0;
    if (ready === this.#ready) return;
    this.#ready = ready;
    this.#log.event("readiness_changed", {
      ready,
      missing: ready ? undefined : missing.join(","),
      uptime_ms: Math.round(performance.now()),
    });
  }
}
