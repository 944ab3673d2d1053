/**
 * The life of the daemon, as one ordered sequence.
 *
 * @module
 */
import type { Log } from "./log.ts";

/** Phases, in order. */
const PHASES = ["starting", "serving", "leaving", "stopping"] as const;

/** A phase of the daemon's life. */
export type Phase = (typeof PHASES)[number];

/** Something without which the daemon is not ready. */
export interface Requirement {
  /** Told to operators while it is unmet, in snake_case. */
  readonly reason: string;
  isMet(): boolean;
}

/** Whether the daemon is ready, and why not. */
export interface Readiness {
  readonly ready: boolean;
  readonly phase: Phase;
  /** Reasons of all that is missing; empty when ready. */
  readonly reasons: readonly string[];
}

/**
 * The phase of the daemon. It only ever advances, in this order:
 *
 * 1. `starting`: the ports are open, the daemon joins its peers and reads the
 *    host list and the table. `/readyz` is 503 and says what is missing;
 *    requests of callers are refused as `not_ready`.
 * 2. `serving`: all that is required is there. It stays in force when the
 *    platform goes down: what was read last is used.
 * 3. `leaving`, by SIGTERM: the daemon announces to its peers that it leaves,
 *    `/readyz` is 503, requests in flight go on, and new ones are refused as
 *    `leaving` with the connection closed behind the refusal.
 * 4. `stopping`: nothing is in flight any more, or the time for it is over, or
 *    a second SIGTERM came; what is left gets a broken end. The ports close,
 *    and the process exits: 0 when no request was cut off, 1 otherwise.
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

  /** Whether new requests are refused because the daemon leaves. */
  get leaving(): boolean {
    return this.#phase === "leaving" || this.#phase === "stopping";
  }

  /** Enters a later phase; an earlier one or the present one changes nothing. */
  enter(phase: Phase): void {
    if (PHASES.indexOf(phase) <= PHASES.indexOf(this.#phase)) return;
    this.#phase = phase;
    this.#log.event("phase_entered", { phase });
  }

  /** Whether the daemon is ready; enters `serving` when all is met. */
  readiness(): Readiness {
    const missing = this.#requirements
      .filter((requirement) => !requirement.isMet())
      .map(({ reason }) => reason);
    if (missing.length === 0) this.enter("serving");
    const reasons = this.leaving ? [...missing, "leaving"] : missing;
    return { ready: reasons.length === 0, phase: this.#phase, reasons };
  }
}
