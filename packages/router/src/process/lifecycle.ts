/**
 * The life of the process: ready, leaving, gone.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** Whether the daemon takes traffic, and why not. */
export class Lifecycle {
  readonly #log: EventLog;
  readonly #requirements = new Map<string, () => boolean>();
  #leaving = false;
  #closed = false;
  #ready = false;

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Adds something without which the daemon is not ready. */
  addRequirement(name: string, met: () => boolean): void {
    this.#requirements.set(name, met);
  }

  /** Whether SIGTERM came. */
  get leaving(): boolean {
    return this.#leaving;
  }

  /** Whether the time to take requests after SIGTERM is over. */
  get closed(): boolean {
    return this.#closed;
  }

  /** From now on requests are refused: they might not end before the kill. */
  close(): void {
    this.#closed = true;
  }

  /** Names of all that is missing; empty when the daemon is ready. */
  missing(): readonly string[] {
    const missing = [...this.#requirements]
      .filter(([, met]) => !met())
      .map(([name]) => name);
    if (this.#leaving) missing.push("leaving");
    this.#note(missing);
    return missing;
  }

  /** From now on the daemon is not ready. */
  leave(): void {
    this.#leaving = true;
    this.missing();
  }

  #note(missing: readonly string[]): void {
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
