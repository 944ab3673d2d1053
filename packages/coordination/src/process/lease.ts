/**
 * Leases in the platform's object store: one holder at a time, with a fencing
 * token.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import * as Effect from "effect/Effect";
import { SYSTEM_CLOCK } from "./clock.ts";
import type { Clock } from "./clock.ts";
import { NO_CRASH_POINTS } from "./crash_points.ts";
import type { CrashPoints } from "./crash_points.ts";
import { LeaseObject } from "./lease_object.ts";
import type { LeaseTerm } from "./lease_object.ts";
import { leaseRemainingMs } from "./lease_rules.ts";
import type { Store } from "./store.ts";

const DEFAULT_DURATION_MS = 10_000;
/** Renewals, or attempts to acquire, per lease duration. */
const STEPS_PER_DURATION = 5;
const HOLDER_ID_BYTES = 9;

/** Settings of a {@linkcode Lease}. */
export interface LeaseOptions {
  readonly store: Store;
  /** Name of the lease, such as that of a service. */
  readonly name: string;
  /** Name of this process, shown to operators. */
  readonly holder: string;
  /**
   * Time for which a holder keeps the lease without renewing it, in
   * milliseconds; 10,000 by default.
   */
  readonly durationMs?: number;
  /** Whether this process should hold the lease; always by default. */
  readonly wanted?: () => boolean;
  readonly clock?: Clock;
  readonly crashPoints?: CrashPoints;
}

/** The right to act, for one term of the holder. */
export interface Tenure {
  /** Fencing token, higher than that of every earlier term. */
  readonly fencing: number;
  /**
   * Returns the milliseconds for which actions may still be in progress, on
   * this process's monotonic clock and less the safety margin; 0 or less once
   * the term is over. Checked before each action, it is also correct right
   * after a pause.
   */
  remainingMs(): number;
}

/**
 * A lease that lets one process at a time act; see docs/design/leases.md.
 *
 * The holder measures its time from before it sent the write, and stops a
 * safety margin before the end. Another process acquires the lease once it has
 * observed the same version for the whole duration on its own clock, which
 * started later. Two processes therefore never act at once, whatever their wall
 * clocks show, as long as their clock rates differ by less than the margin, a
 * fifth.
 *
 * @example
 * ```ts
 * const lease = new Lease({ store, name: "drafting-llm", holder: "entry-1" });
 * yield* Effect.forever(lease.hold((tenure) => serve(tenure)));
 * ```
 */
export class Lease {
  readonly #object: LeaseObject;
  readonly #clock: Clock;
  readonly #durationMs: number;
  readonly #wanted: () => boolean;

  constructor(options: LeaseOptions) {
    this.#clock = options.clock ?? SYSTEM_CLOCK;
    this.#durationMs = options.durationMs ?? DEFAULT_DURATION_MS;
    this.#wanted = options.wanted ?? (() => true);
    this.#object = new LeaseObject({
      store: options.store,
      clock: this.#clock,
      crashPoints: options.crashPoints ?? NO_CRASH_POINTS,
      name: options.name,
      holder: options.holder,
      holderId: randomBytes(HOLDER_ID_BYTES).toString("base64url"),
      durationMs: this.#durationMs,
    });
  }

  /**
   * Waits for the lease and runs the effect while the lease is held. Interrupts
   * the effect when the lease is lost, and releases the lease when the effect
   * ends.
   */
  hold(during: (tenure: Tenure) => Effect.Effect<void>): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const term = yield* this.#acquire();
      const work = Effect.raceFirst(
        during(this.#tenure(term)),
        this.#renewUntilLost(term),
      );
      yield* Effect.ensuring(work, this.#object.release(term));
    });
  }

  #acquire(): Effect.Effect<LeaseTerm> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        if (this.#wanted()) {
          const term = yield* this.#object.tryAcquire();
          if (term !== undefined && this.#remainingMs(term) > 0) return term;
        }
        yield* Effect.sleep(this.#stepMs());
      }
    });
  }

  /** Renews the lease until its term is over, which ends the work. */
  #renewUntilLost(term: LeaseTerm): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (this.#remainingMs(term) > 0) {
        const stepMs = Math.min(this.#stepMs(), this.#remainingMs(term));
        yield* Effect.sleep(Math.max(1, stepMs));
        // After a pause another process may hold the lease. A renewal would
        // only conflict, and the term is over in any case.
        if (this.#remainingMs(term) <= 0) return;
        const lost = yield* this.#object.renew(term).pipe(
          Effect.timeoutOrElse({
            duration: Math.max(1, this.#remainingMs(term)),
            orElse: () => Effect.succeed(true),
          }),
        );
        if (lost) return;
      }
    });
  }

  #tenure(term: LeaseTerm): Tenure {
    return {
      fencing: term.fencing,
      remainingMs: () => this.#remainingMs(term),
    };
  }

  #remainingMs(term: LeaseTerm): number {
    if (term.ended) return 0;
    return leaseRemainingMs(this.#durationMs, term.renewedAt, this.#clock);
  }

  #stepMs(): number {
    const JITTER = 0.2;
    const jitter = 1 - JITTER * Math.random();
    return (this.#durationMs / STEPS_PER_DURATION) * jitter;
  }
}
