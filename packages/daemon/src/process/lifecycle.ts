/**
 * Lifecycle of the daemon: an ordered sequence of phases.
 *
 * @module
 */
import type { Log } from "./log.ts";

/** Phases, in order. */
const PHASES = ["starting", "serving", "leaving", "stopping"] as const;

/** A phase of the daemon's lifecycle. */
export type Phase = (typeof PHASES)[number];

/** A condition for the daemon to be ready. */
export interface Requirement {
  /** Reported to operators while the condition is unmet; in snake_case. */
  readonly reason: string;
  isMet(): boolean;
}

/** Whether the daemon is ready, and why not. */
export interface Readiness {
  readonly ready: boolean;
  readonly phase: Phase;
  /** Reasons of all unmet requirements; empty when ready. */
  readonly reasons: readonly string[];
}

/**
 * The phase of the daemon, which only advances, in this order:
 *
 * 1. `starting`: the ports are open; the daemon joins its peers and reads the
 *    host list and the table. `/readyz` returns 503 with the unmet requirements;
 *    callers' requests are refused as `not_ready`.
 * 2. `serving`: all requirements are met. The daemon stays in this phase when the
 *    platform is down and uses the data that it read last.
 * 3. `leaving`, on SIGTERM: the daemon announces to its peers that it is leaving,
 *    and `/readyz` returns 503. Requests in flight continue; new ones are refused
 *    as `leaving`, and the connection is closed after the refusal.
 * 4. `stopping`: no request is in flight, the grace period has ended, or a second
 *    SIGTERM arrived. Responses still in flight are broken off, the ports are
 *    closed, and the process exits: with 0 if no request was broken off, else 1.
 */
export class Lifecycle {
  readonly #log: Log;
  readonly #requirements: readonly Requirement[];
  #phase: Phase = "starting";

  constructor(log: Log, requirements: readonly Requirement[]) {
    this.#log = log;
    this.#requirements = requirements;
  }

  get phase(): Phase {
    return this.#phase;
  }

  /** Whether new requests are refused because the daemon is shutting down. */
  get leaving(): boolean {
    return this.#phase === "leaving" || this.#phase === "stopping";
  }

  /** Enters a later phase; an earlier or the current one has no effect. */
  enter(phase: Phase): void {
    if (PHASES.indexOf(phase) <= PHASES.indexOf(this.#phase)) return;
    this.#phase = phase;
    this.#log.event("phase_entered", { phase });
  }

  /** Returns the readiness; enters `serving` when all requirements are met. */
  readiness(): Readiness {
    const missing = this.#requirements
      .filter((requirement) => !requirement.isMet())
      .map(({ reason }) => reason);
    if (missing.length === 0) this.enter("serving");
    const reasons = this.leaving ? [...missing, "leaving"] : missing;
    return { ready: reasons.length === 0, phase: this.#phase, reasons };
  }
}
