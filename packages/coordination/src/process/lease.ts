/**
 * Leases in the platform's store: one holder at a time, with a fencing number.
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
/** Renewals and looks in each duration. */
const STEPS_PER_DURATION = 5;
const HOLDER_ID_BYTES = 9;

/** Settings of a {@linkcode Lease}. */
export interface LeaseOptions {
  readonly store: Store;
  /** Name of the lease, such as that of a service. */
  readonly name: string;
  /** Name of this process, for the operators' eyes. */
  readonly holder: string;
  /** How long a silent holder keeps the lease, in milliseconds; 10,000 by default. */
  readonly durationMs?: number;
  /** Whether this process should hold the lease; always by default. */
  readonly wanted?: () => boolean;
  readonly clock?: Clock;
  readonly crashPoints?: CrashPoints;
}

/** The right to act, for one term of the holder. */
export interface Tenure {
  /** Higher than that of every earlier term. */
  readonly fencing: number;
  /**
   * Milliseconds for which acts may still be under way, by this process's clock
   * that never goes back and with the margin taken off; 0 or less when the term
   * is over. Asked before each act, it holds also right after a pause.
   */
  remainingMs(): number;
}

/**
 * Lets one process at a time act; see docs/design/leases.md.
 *
 * The holder counts its time from before it sent the write, and stops a margin
 * before the end. Another process takes the lease when it has seen the same
 * version for the whole duration by its own clock, which began later. So no two
 * act at once, whatever the shown times are, while clocks run at rates that
 * differ by less than the margin, a fifth.
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
   * Waits for the lease and runs the effect while it is held; interrupts it when
   * the lease is lost, and gives the lease up when it ends.
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

  /** Renews until the term is over, which ends the work. */
  #renewUntilLost(term: LeaseTerm): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (this.#remainingMs(term) > 0) {
        const stepMs = Math.min(this.#stepMs(), this.#remainingMs(term));
        yield* Effect.sleep(Math.max(1, stepMs));
        // After a pause another process may hold it; a renewal would only meet
        // a conflict, and the time is over in any case.
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
