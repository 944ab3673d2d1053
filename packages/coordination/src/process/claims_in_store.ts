/**
 * Claims kept in the platform's store.
 *
 * @module
 */
import { createHash, randomUUID } from "node:crypto";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type {
  Claim,
  ClaimOutcome,
  Claims,
  ClaimSettlement,
  ClaimUnavailable,
} from "./claims.ts";
import { SYSTEM_CLOCK } from "./clock.ts";
import type { Clock } from "./clock.ts";
import type { Membership } from "./membership.ts";
import type { Peers } from "./peers.ts";
import type { Conflict, Store, StoredObject, Unavailable } from "./store.ts";

const KIND = "claims";
const START_WITHIN_MS = 5_000;
const RETRY_AFTER_MS = 1_000;

interface Entry {
  readonly id: string;
  readonly digest: string;
  readonly by: string;
}

/** Settings of {@linkcode ClaimsInStore}. */
export interface ClaimsInStoreOptions {
  readonly store: Store;
  readonly peers: Peers;
  readonly membership: Membership;
  readonly clock?: Clock;
}

/** {@linkcode Claims} that are safe by conditional update alone. */
export class ClaimsInStore implements Claims {
  readonly #options: ClaimsInStoreOptions;
  readonly #clock: Clock;

  constructor(options: ClaimsInStoreOptions) {
    this.#options = options;
    this.#clock = options.clock ?? SYSTEM_CLOCK;
  }

  /** Serves other members' claims until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.void;
  }

  claim(
    key: string,
    options: { readonly digest: string },
  ): Effect.Effect<ClaimOutcome, ClaimUnavailable> {
    const name = createHash("sha256").update(key).digest("base64url");
    const entry: Entry = {
      id: randomUUID(),
      digest: options.digest,
      by: this.#options.membership.self.name,
    };
    const { store } = this.#options;
    const write = store.write({ kind: KIND, name, value: entry }, {
      ifVersion: 0,
    });
    return Effect.matchEffect(write, {
      onSuccess: () => Effect.succeed(this.#claimed(key, name, entry)),
      onFailure: (failure) => this.#resolve(key, name, { entry, failure }),
    });
  }

  /** A conflict may be one's own write whose reply was lost. */
  #resolve(
    key: string,
    name: string,
    met: { readonly entry: Entry; readonly failure: Conflict | Unavailable },
  ): Effect.Effect<ClaimOutcome, ClaimUnavailable> {
    if (met.failure._tag === "Unavailable" && !met.failure.mayHaveWritten) {
      return Effect.fail(unavailable(met.failure));
    }
    const read = Effect.mapError(
      this.#options.store.read(KIND, name),
      unavailable,
    );
    return Effect.flatMap(read, (found) => {
      if (found === undefined) return Effect.fail(unavailable());
      return Effect.succeed(this.#judge(key, found, met.entry));
    });
  }

  #judge(key: string, found: StoredObject, own: Entry): ClaimOutcome {
    const entry = found.value as Entry;
    if (entry.id === own.id) return this.#claimed(key, found.name, own);
    if (entry.digest !== own.digest) return { _tag: "Mismatch" };
    return { _tag: "Taken", by: entry.by, state: "may-have-run" };
  }

  #claimed(key: string, name: string, entry: Entry): ClaimOutcome {
    const startBy = this.#clock.monotonic() + START_WITHIN_MS;
    const claim: Claim = {
      key,
      id: entry.id,
      mayStart: () => this.#clock.monotonic() < startBy,
      settle: (settlement) => this.#settle(name, settlement),
    };
    return { _tag: "Claimed", claim };
  }

  #settle(name: string, settlement: ClaimSettlement): Effect.Effect<void> {
    if (settlement._tag !== "NotRun") return Effect.void;
    const { store } = this.#options;
    return Effect.flatMap(store.read(KIND, name), (found) => {
      if (found === undefined) return Effect.void;
      return store.remove({ kind: KIND, name }, { ifVersion: found.version });
    }).pipe(Effect.ignore);
  }
}

function unavailable(failure?: Unavailable): ClaimUnavailable {
  return {
    _tag: "ClaimUnavailable",
    reason: "store",
    message: failure?.reason ?? "The claim could not be confirmed",
    retryAfterMs: failure?.retryAfterMs ?? RETRY_AFTER_MS,
  };
}
