/**
 * What keeps this daemon from sending requests to a runner at the moment.
 *
 * @module
 */
import type { BrittleServices } from "./brittle_services.ts";
import type { RunnerLimits } from "./runner_limits.ts";
import type { RunnerPauses } from "./runner_pauses.ts";

/**
 * The restrictions that runners ask for: rate limits for all daemons together, pauses
 * for this daemon, and no requests beyond their room. Whatever sends to a runner checks them and counts its
 * request here: the choice of a runner, waiting requests, retries and queries.
 *
 * @example
 * ```ts
 * if (restrictions.allowRequest(id, now)) restrictions.recordRequest(id, now);
 * ```
 */
export class RunnerRestrictions {
  readonly #limits: RunnerLimits;
  readonly #pauses: RunnerPauses;
  readonly #brittle: BrittleServices;

  constructor(
    limits: RunnerLimits,
    pauses: RunnerPauses,
    brittle: BrittleServices,
  ) {
    this.#limits = limits;
    this.#pauses = pauses;
    this.#brittle = brittle;
  }

  /** Whether any runner has asked for a restriction. */
  get exist(): boolean {
    return this.#limits.hasLimits || this.#pauses.hasPauses ||
      this.#brittle.exist;
  }

  /** Whether a runner is restricted, even if it accepts a request now. */
  applyTo(runner: string): boolean {
    return this.#limits.perSecond(runner) !== undefined ||
      this.#pauses.isRestricted(runner) || this.#brittle.appliesTo(runner);
  }

  /** Whether this daemon may send a request to a runner now. */
  allowRequest(runner: string, now: number): boolean {
    return this.#limits.allowsRequest(runner, now) &&
      this.#pauses.allowsRequest(runner, now) &&
      this.#brittle.allowsRequest(runner, now);
  }

  /** Whether this daemon may get to send a request to a runner by a time. */
  mayAllowRequest(runner: string, times: {
    readonly now: number;
    readonly until: number;
  }): boolean {
    return this.#limits.hasShare(runner, times.now) &&
      this.#pauses.allowsRequest(runner, times.until);
  }

  /** Counts a request that is sent to a runner. */
  recordRequest(runner: string, now: number): void {
    this.#limits.recordRequest(runner, now);
    this.#pauses.recordRequest(runner, now);
  }
}
