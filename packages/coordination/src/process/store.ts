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

/** Which object a write or removal means. */
export interface ObjectKey {
  readonly kind: string;
  readonly name: string;
}

/** An object as it shall be. */
export interface ObjectWrite extends ObjectKey {
  readonly value: unknown;
}

/** What must still hold for a write or removal to take effect. */
export interface WriteCondition {
  /** Version of the object; 0 when it must not exist. */
  readonly ifVersion: number;
}

/** The objects of a kind. */
export interface StoreListing {
  /** Where a watch goes on from. */
  readonly revision: number;
  readonly items: readonly StoredObject[];
}

/** Which changes a watch waits for, and how long. */
export interface WatchRange {
  /** Changes later than this revision. */
  readonly from: number;
  /** Longest wait for a first change, in milliseconds. */
  readonly waitMs: number;
}

/** The changes that a watch saw. */
export interface StoreChanges {
  /** Where the next watch goes on from. */
  readonly revision: number;
  /** Empty when none came in time. */
  readonly events: readonly StoreEvent[];
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
    object: ObjectWrite,
    options: WriteCondition,
  ): Effect.Effect<number, Conflict | Unavailable>;

  /** Removes one object if its version is still `ifVersion`. */
  remove(
    object: ObjectKey,
    options: WriteCondition,
  ): Effect.Effect<void, Conflict | Unavailable>;

  /** Lists a kind, with the revision to watch from. */
  list(kind: string): Effect.Effect<StoreListing, Unavailable>;

  /** Waits for changes later than `from`; an empty answer means none came. */
  watch(
    kind: string,
    options: WatchRange,
  ): Effect.Effect<StoreChanges, Unavailable>;
}
