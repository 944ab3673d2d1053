/**
 * Interface of the platform's object store, as coordination uses it.
 *
 * @module
 */
import type * as Effect from "effect/Effect";

/** An object read from the store. */
export interface StoredObject {
  /** Namespace of the object's name. */
  readonly kind: string;
  readonly name: string;
  /** Version of this object: positive, and greater after each write of it. */
  readonly version: number;
  readonly value: unknown;
}

/** Identifies the object of a write or removal. */
export interface ObjectKey {
  readonly kind: string;
  readonly name: string;
}

/** An object to be written. */
export interface ObjectWrite extends ObjectKey {
  readonly value: unknown;
}

/** Condition under which a write or removal takes effect. */
export interface WriteCondition {
  /** Expected version of the object; 0 if it must not exist. */
  readonly ifVersion: number;
}

/** All objects of one kind. */
export interface StoreListing {
  /** Revision from which a watch continues. */
  readonly revision: number;
  readonly items: readonly StoredObject[];
}

/** Which changes a watch waits for, and how long. */
export interface WatchOptions {
  /** Revision after which changes are returned; the revision is excluded. */
  readonly from: number;
  /** Maximum wait for the first change, in milliseconds. */
  readonly waitMs: number;
}

/** The changes that a watch returned. */
export interface StoreChanges {
  /** Revision from which the next watch continues. */
  readonly revision: number;
  /** Empty if there were no changes in time. */
  readonly events: readonly StoreEvent[];
}

/** A change that a watch returned. */
export interface StoreEvent {
  readonly type: "put" | "delete";
  readonly name: string;
  readonly version: number;
  /** The written value; absent for a removal. */
  readonly value?: unknown;
}

/**
 * A conditional write or removal found a different version. Nothing was changed.
 */
export interface Conflict {
  readonly _tag: "Conflict";
  /** Version in the store; 0 when the object does not exist. */
  readonly version: number;
}

/**
 * The store gave no usable response. `mayHaveWritten` is whether a write or
 * removal may have taken effect although its response was lost.
 */
export interface Unavailable {
  readonly _tag: "Unavailable";
  readonly reason: string;
  readonly mayHaveWritten: boolean;
  /**
   * Delay before the next call, in milliseconds, if the store specified one.
   */
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

  /**
   * Waits for changes later than `from`; an empty result means that there were
   * none in time.
   */
  watch(
    kind: string,
    options: WatchOptions,
  ): Effect.Effect<StoreChanges, Unavailable>;
}
