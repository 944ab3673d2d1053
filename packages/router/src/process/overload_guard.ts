/**
 * Detects that this daemon has far more to do than the others.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";

/** Lateness of timers in ms from which a daemon lacks processor time. */
const OVERLOAD_DELAY_MS = 250;
/** Lateness below which it has enough again. */
const RELIEF_DELAY_MS = 100;
/** Requests in flight, in multiples of the others' mean, from which it has too many. */
const OVERLOAD_FACTOR = 4;
/** Requests in flight above that at least: a mean of few requests says little. */
const OVERLOAD_REQUESTS = 16;
/** Milliseconds between two evaluations. */
const EVALUATION_MS = 100;

/** What the guard observes. */
export interface OverloadSources {
  readonly log: EventLog;
  /** The longest lateness of a timer of the last half second, in ms. */
  delayMs(now: number): number;
  /** Requests of this daemon in flight at runners. */
  ownRequests(): number;
  /** The same of the other daemons in the mean; undefined without any. */
  meanRequests(): number | undefined;
}

/**
 * A load balancer may hand most new connections to one daemon. It then responds late
 * to all of them while the others have little to do: it is better for callers to be
 * turned away unread, and served by another one. Where all daemons are overloaded
 * nothing is gained by that, and the guard does not apply.
 *
 * @example
 * ```ts
 * if (guard.isOverloaded(performance.now())) socket.destroy();
 * ```
 */
export class OverloadGuard {
  readonly #sources: OverloadSources;
  #overloaded = false;
  #evaluatedAt = -Infinity;
  #startedAt = 0;

  constructor(sources: OverloadSources) {
    this.#sources = sources;
  }

  /** Whether this daemon takes no new connections for now. */
  isOverloaded(now: number): boolean {
    if (now - this.#evaluatedAt < EVALUATION_MS) return this.#overloaded;
    this.#evaluatedAt = now;
    const before = this.#overloaded;
    this.#overloaded = this.#evaluate(now);
    if (before !== this.#overloaded) this.#logChange(now);
    return this.#overloaded;
  }

  #evaluate(now: number): boolean {
    const delayMs = this.#sources.delayMs(now);
    if (this.#overloaded) return delayMs >= RELIEF_DELAY_MS;
    if (delayMs < OVERLOAD_DELAY_MS) return false;
    const mean = this.#sources.meanRequests();
    if (mean === undefined) return false;
    return this.#sources.ownRequests() >=
      OVERLOAD_FACTOR * mean + OVERLOAD_REQUESTS;
  }

  #logChange(now: number): void {
    const { log } = this.#sources;
    if (this.#overloaded) {
      this.#startedAt = now;
      log.event("overload_began", {
        delay_ms: Math.round(this.#sources.delayMs(now)),
        requests: this.#sources.ownRequests(),
        mean: this.#sources.meanRequests(),
      });
      return;
    }
    log.event("overload_ended", {
      after_ms: Math.round(now - this.#startedAt),
    });
  }
}
