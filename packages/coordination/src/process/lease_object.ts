/**
 * The object in the store that stands for a lease.
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

/** Kind of the leases in the store. */
export const LEASE_KIND = "leases";

/** A time of holding; changes with each renewal. */
export interface LeaseTerm {
  readonly fencing: number;
  /** When the last write that is known to stand was sent. */
  renewedAt: Timestamp;
  /** Version on which the next write builds. */
  version: number;
  /** The lease was given up or taken by another process. */
  ended: boolean;
}

/** What a {@linkcode LeaseObject} needs. */
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
  /** An earlier write of the term stands, sent at an unknown time. */
  | { readonly _tag: "Earlier"; readonly version: number }
  | { readonly _tag: "Lost" }
  | { readonly _tag: "Unsure" };

/**
 * The object of one lease in the store. It is free for this process when it is
 * absent, given up or its own, or when its version has stood for the lease's
 * length by this process's own clock.
 */
export class LeaseObject {
  readonly #options: LeaseObjectOptions;
  readonly #observer: LeaseObserver;
  #attempts = 0;

  constructor(options: LeaseObjectOptions) {
    this.#options = options;
    this.#observer = new LeaseObserver(options.holderId);
  }

  /** Looks at the lease once, and takes it if it is free. */
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

  /** Renews once; true when the lease is lost. Unsure ends are tried again. */
  renew(term: LeaseTerm): Effect.Effect<boolean> {
    const { clock } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const sentAt = timestampOf(clock);
      const value = this.#value(term.fencing);
      const written = yield* this.#write(value, term.version);
      if (written._tag === "Unsure") return false;
      if (written._tag === "Lost") {
        term.ended = true;
        return true;
      }
      term.version = written.version;
      // Others count from the write that stands. Counting from a later attempt
      // would let this holder act while another one takes over.
      if (written._tag === "Written") term.renewedAt = sentAt;
      return false;
    });
  }

  /** Gives the lease up, so that another process need not wait for its end. */
  release(term: LeaseTerm): Effect.Effect<void> {
    const { store, name } = this.#options;
    return Effect.suspend(() => {
      if (term.ended) return Effect.void;
      // Nothing may be done under it from here on, whether the write arrives.
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

  /** After a lost reply the object tells whether the write took effect. */
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
    const unsure: WriteResult = { _tag: "Unsure" };
    // A conflict, too, may be with one's own write whose reply was lost before.
    if (failure._tag === "Unavailable" && !failure.mayHaveWritten) {
      return Effect.succeed(unsure);
    }
    const { store, name } = this.#options;
    return Effect.match(store.read(LEASE_KIND, name), {
      onFailure: () => unsure,
      onSuccess: (found): WriteResult => {
        const stored = found?.value as LeaseHolding | undefined;
        const own = stored?.holderId === value.holderId &&
          stored.fencing === value.fencing;
        if (!own) {
          // Not lost for good when only the request was: the lease as it was
          // before may still be there.
          return failure._tag === "Conflict" ? { _tag: "Lost" } : unsure;
        }
        const version = found?.version ?? 0;
        const same = stored.attempt === value.attempt;
        return { _tag: same ? "Written" : "Earlier", version };
      },
    });
  }

  #isFree(found: StoredObject | undefined): boolean {
    const seen = found && {
      version: found.version,
      holding: found.value as LeaseHolding,
    };
    return this.#observer.isFree(seen, this.#options.clock.monotonic());
  }

  #value(fencing: number): LeaseHolding {
    const { holder, holderId, durationMs } = this.#options;
    this.#attempts += 1;
    const attempt = this.#attempts;
    return { holder, holderId, fencing, attempt, durationMs };
  }
}
