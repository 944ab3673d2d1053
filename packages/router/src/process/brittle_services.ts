/**
 * Services whose runners fall over when they have to reject too many requests.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/**
 * Time in ms after the last statement from which a service no longer counts as
 * brittle: its runners state it in all their responses.
 */
const STATEMENT_TTL_MS = 5_000;
/**
 * Part of the rejections that a runner bears which all daemons together may cause by
 * requests to a runner that seems to have room.
 */
const USED_SHARE = 0.5;
const MS_PER_SECOND = 1_000;
/** Minimum and maximum time in ms for which a runner that is full gets no request. */
const MIN_HOLD_MS = 100;
const MAX_HOLD_MS = 3_000;

/** What is known of a runner that may be full. */
export interface RunnerRoom {
  readonly service: string;
  readonly slots: number;
  /** Requests of all daemons at the runner, running or waiting. */
  requests(now: number): number;
}

/** A statement of a service's runners. */
interface Brittleness {
  /** Rejections in a second beyond which a runner falls over. */
  readonly perS: number;
  /** Monotonic ms. */
  readonly statedAt: number;
}

/**
 * Keeps requests from runners that would reject them, while their service is brittle.
 * A runner gets no request beyond its slots, and none for a while after a rejection:
 * so long that all daemons together cause half of the rejections that it bears.
 *
 * @example
 * ```ts
 * brittle.recordStated("drafting-llm", 5, now);
 * brittle.allowsRequest("r-1", now);
 * ```
 */
export class BrittleServices {
  readonly #log: EventLog;
  readonly #room: (runner: string) => RunnerRoom | undefined;
  readonly #daemons: () => number;
  readonly #services = new Map<string, Brittleness>();
  /** Until when runners get no request after a rejection; monotonic ms. */
  readonly #heldUntil = new Map<string, number>();

  /**
   * @param options.room returns what is known of a listed runner.
   * @param options.daemons returns the number of daemons in the fleet.
   */
  constructor(log: EventLog, options: {
    readonly room: (runner: string) => RunnerRoom | undefined;
    readonly daemons: () => number;
  }) {
    this.#log = log;
    this.#room = options.room;
    this.#daemons = options.daemons;
  }

  /** Whether the runners of any service state that they are brittle. */
  get exist(): boolean {
    return this.#services.size > 0;
  }

  /** Whether the runners of a runner's service state that they are brittle. */
  appliesTo(runner: string): boolean {
    if (!this.exist) return false;
    const room = this.#room(runner);
    return room !== undefined && this.#services.has(room.service);
  }

  /**
   * Records what a runner's response states.
   *
   * @param perS rejections in a second beyond which the runner falls over; undefined
   * if the response states nothing.
   */
  recordStated(service: string, perS: number | undefined, now: number): void {
    const known = this.#services.get(service);
    if (perS !== undefined) {
      if (known?.perS !== perS) {
        this.#log.event("service_brittle", { service, per_s: perS });
      }
      this.#services.set(service, { perS, statedAt: now });
      return;
    }
    if (known === undefined || now - known.statedAt < STATEMENT_TTL_MS) return;
    this.#services.delete(service);
    this.#log.event("service_brittle_ended", { service });
  }

  /** Records that a runner rejected a request because it is full. */
  recordRejection(runner: string, now: number): void {
    const service = this.#room(runner)?.service;
    const brittleness = service && this.#services.get(service);
    if (!brittleness) return;
    const holdMs = MS_PER_SECOND * this.#daemons() /
      (USED_SHARE * brittleness.perS);
    const bounded = Math.min(MAX_HOLD_MS, Math.max(MIN_HOLD_MS, holdMs));
    this.#heldUntil.set(runner, now + bounded);
  }

  /** Whether a runner has room for a request, as far as known. */
  allowsRequest(runner: string, now: number): boolean {
    if (!this.appliesTo(runner)) return true;
    if ((this.#heldUntil.get(runner) ?? -Infinity) > now) return false;
    const room = this.#room(runner)!;
    return room.requests(now) < room.slots;
  }

  /** Forgets the runners that are not listed. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#heldUntil.keys()) {
      if (!ids.has(id)) this.#heldUntil.delete(id);
    }
  }
}
