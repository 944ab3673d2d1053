/**
 * Reads and writes the object in the store that represents a lease.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import { timestampOf } from "./clock.ts";
import type { Clock, Timestamp } from "./clock.ts";
import type { CrashPoints } from "./crash_points.ts";
import { fencingAfter, LeaseObserver } from "./lease_rules.ts";
import type { LeaseHolding } from "./lease_rules.ts";
import type { Conflict, Store, StoredObject, Unavailable } from "./store.ts";

/** Object kind of leases in the store. */
export const LEASE_KIND = "leases";

/** State of one term of holding the lease; each renewal updates it. */
export interface LeaseTerm {
  readonly fencing: number;
  /** When the last write that is known to have succeeded was sent. */
  renewedAt: Timestamp;
  /** Version that the next write replaces. */
  version: number;
  /** Whether the lease was released, or acquired by another process. */
  ended: boolean;
}

/** Options of a {@linkcode LeaseObject}. */
export interface LeaseObjectOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly crashPoints: CrashPoints;
  readonly name: string;
  readonly holder: string;
  readonly holderId: string;
  readonly durationMs: number;
}

type WriteResult =
  | { readonly _tag: "Written"; readonly version: number }
  /** An earlier write of the term is in the store, sent at an unknown time. */
  | { readonly _tag: "Earlier"; readonly version: number }
  | { readonly _tag: "Lost" }
  | { readonly _tag: "Unknown" };

/**
 * The object of one lease in the store. This process can acquire the lease if
 * the object is absent, released or its own, or if its version has not changed
 * for the lease's duration on this process's own clock.
 */
export class LeaseObject {
  readonly #options: LeaseObjectOptions;
  readonly #observer: LeaseObserver;
  #attempts = 0;

  constructor(options: LeaseObjectOptions) {
    this.#options = options;
    this.#observer = new LeaseObserver(options.holderId);
  }

  /** Reads the lease once, and acquires it if it is free. */
  tryAcquire(): Effect.Effect<LeaseTerm | undefined> {
    const { store, name, clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const found = yield* store.read(LEASE_KIND, name);
      if (!this.#isFree(found)) return undefined;
      const ifVersion = found?.version ?? 0;
      const fencing = fencingAfter(ifVersion);
      const sentAt = timestampOf(clock);
      const written = yield* this.#write(this.#value(fencing), ifVersion);
      if (written._tag !== "Written") return undefined;
      const { version } = written;
      return { fencing, renewedAt: sentAt, version, ended: false };
    }).pipe(Effect.catch(() => Effect.succeed(undefined)));
  }

  /**
   * Renews the lease once; returns true if it is lost. A write with an unknown
   * result is retried by the next renewal.
   */
  renew(term: LeaseTerm): Effect.Effect<boolean> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const sentAt = timestampOf(clock);
      const value = this.#value(term.fencing);
      const written = yield* this.#write(value, term.version);
      if (written._tag === "Unknown") return false;
      if (written._tag === "Lost") {
        term.ended = true;
        return true;
      }
      term.version = written.version;
      // Other processes measure the duration from the write that is in the
      // store. Measuring from a later attempt would let this holder act while
      // another process takes over.
      if (written._tag === "Written") term.renewedAt = sentAt;
      return false;
    });
  }

  /**
   * Releases the lease, so that other processes need not wait for it to expire.
   */
  release(term: LeaseTerm): Effect.Effect<void> {
    const { store, name } = this.#options;
    return Effect.suspend(() => {
      if (term.ended) return Effect.void;
      // From here on no action may be taken under the lease, whether or not the
      // write arrives.
      term.ended = true;
      const value: LeaseHolding = {
        ...this.#value(term.fencing),
        holder: "",
        holderId: "",
      };
      const object = { kind: LEASE_KIND, name, value };
      return Effect.ignore(store.write(object, { ifVersion: term.version }));
    });
  }

  /**
   * Writes the lease. After a lost response, reads the object back to find out
   * whether the write took effect.
   */
  #write(value: LeaseHolding, ifVersion: number): Effect.Effect<WriteResult> {
    const { store, name, crashPoints } = this.#options;
    const object = { kind: LEASE_KIND, name, value };
    return Effect.gen({ self: this }, function* () {
      yield* crashPoints.reached("lease.before_write");
      const written = yield* Effect.matchEffect(
        store.write(object, { ifVersion }),
        {
          onSuccess: (version) =>
            Effect.succeed<WriteResult>({ _tag: "Written", version }),
          onFailure: (failure) => this.#resolve(value, failure),
        },
      );
      yield* crashPoints.reached("lease.after_write");
      return written;
    });
  }

  #resolve(
    value: LeaseHolding,
    failure: Conflict | Unavailable,
  ): Effect.Effect<WriteResult> {
    const unknownResult: WriteResult = { _tag: "Unknown" };
    // A conflict can also be with an earlier write of this process whose
    // response was lost.
    if (failure._tag === "Unavailable" && !failure.mayHaveWritten) {
      return Effect.succeed(unknownResult);
    }
    const { store, name } = this.#options;
    return Effect.match(store.read(LEASE_KIND, name), {
      onFailure: () => unknownResult,
      onSuccess: (found): WriteResult => {
        const stored = found?.value as LeaseHolding | undefined;
        const isOwn = stored?.holderId === value.holderId &&
          stored.fencing === value.fencing;
        if (!isOwn) {
          // If only the request was lost, the previous state of the lease may
          // still be in the store, so the lease is not lost.
          return failure._tag === "Conflict" ? { _tag: "Lost" } : unknownResult;
        }
        const version = found?.version ?? 0;
        const isSameWrite = stored.attempt === value.attempt;
        return { _tag: isSameWrite ? "Written" : "Earlier", version };
      },
    });
  }

  #isFree(found: StoredObject | undefined): boolean {
    const observed = found && {
      version: found.version,
      holding: found.value as LeaseHolding,
    };
    return this.#observer.isFree(observed, this.#options.clock.monotonic());
  }

  #value(fencing: number): LeaseHolding {
    const { holder, holderId, durationMs } = this.#options;
    this.#attempts += 1;
    const attempt = this.#attempts;
    return { holder, holderId, fencing, attempt, durationMs };
  }
}
