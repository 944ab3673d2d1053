/**
 * The platform's object store, as coordination uses it.
 *
 * @module
 */
import type * as Effect from "effect/Effect";

/** An object read from the store. */
export interface StoredObject {
  readonly kind: string;
  readonly name: string;
  /** Positive; grows with each write. */
  readonly version: number;
  readonly value: unknown;
}

/** A change seen by a watch. */
export interface StoreEvent {
  readonly type: "put" | "delete";
  readonly name: string;
  readonly version: number;
  readonly value?: unknown;
}

/** A conditional write met another version. Nothing was written. */
export interface Conflict {
  readonly _tag: "Conflict";
  /** Version in the store; 0 when the object does not exist. */
  readonly version: number;
}

/**
 * The store could not be asked. `mayHaveWritten` tells whether a write may have
 * taken effect all the same, its reply being lost.
 */
export interface Unavailable {
  readonly _tag: "Unavailable";
  readonly reason: string;
  readonly mayHaveWritten: boolean;
  /** When to come back, if the store said so, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** The platform's object store. */
export interface Store {
  /** Reads one object; `undefined` when it does not exist. */
  read(
    kind: string,
    name: string,
  ): Effect.Effect<StoredObject | undefined, Unavailable>;

  /**
   * Writes one object if its version is still `ifVersion` (0: must not exist).
   *
   * @returns the new version.
   */
  write(
    object: {
      readonly kind: string;
      readonly name: string;
      readonly value: unknown;
    },
    options: { readonly ifVersion: number },
  ): Effect.Effect<number, Conflict | Unavailable>;

  /** Removes one object if its version is still `ifVersion`. */
  remove(
    object: { readonly kind: string; readonly name: string },
    options: { readonly ifVersion: number },
  ): Effect.Effect<void, Conflict | Unavailable>;

  /** Lists a kind, with the revision to watch from. */
  list(kind: string): Effect.Effect<
    { readonly revision: number; readonly items: readonly StoredObject[] },
    Unavailable
  >;

  /** Waits for changes later than `from`; an empty answer means none came. */
  watch(
    kind: string,
    options: { readonly from: number; readonly waitMs: number },
  ): Effect.Effect<
    { readonly revision: number; readonly events: readonly StoreEvent[] },
    Unavailable
  >;
}
