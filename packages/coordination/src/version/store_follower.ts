/**
 * Follows one object of the store.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Store, StoredObject, Unavailable } from "../process/store.ts";

/**
 * A watch whose connection has gone silent looks like one that has nothing to
 * tell, until its time is over: an edit made meanwhile is in force only then,
 * and later still when the list after it meets a silent connection too. Two
 * members of each failure domain watch: one call a second each is far below the
 * store's rate.
 */
const WATCH_WAIT_MS = 1_000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;
/** How often a member that is not to watch looks whether it is now. */
const ROLE_CHECK_INTERVAL_MS = 1_000;
/** A member that hears no other for this long reads the store itself. */
const ISOLATED_AFTER_MS = 5_000;

/** What a {@linkcode StoreFollower} needs. */
export interface StoreFollowerOptions {
  readonly store: Store;
  readonly kind: string;
  readonly name: string;
  /** Whether this process is to watch for others. */
  readonly isWatcher: () => boolean;
  /** Milliseconds since another member was heard. */
  readonly msSinceContact: () => number;
  readonly onObject: (
    found: { readonly version: number; readonly value: unknown },
  ) => void;
}

/** Watches the object while this process is to, and reads it when isolated. */
export class StoreFollower {
  readonly #options: StoreFollowerOptions;
  #backoffMs = MIN_BACKOFF_MS;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
  }

  /** Reads the object once. */
  read(): Effect.Effect<StoredObject | undefined, Unavailable> {
    const { store, kind, name, onObject: take } = this.#options;
    return Effect.tap(
      store.read(kind, name),
      (found) => Effect.sync(() => found !== undefined && take(found)),
    );
  }

  /** Follows until it is interrupted. */
  run(): Effect.Effect<never> {
    const { isWatcher: watches, msSinceContact: silenceMs } = this.#options;
    return Effect.suspend(() => {
      if (watches()) return this.#watch();
      if (silenceMs() < ISOLATED_AFTER_MS) {
        return Effect.sleep(ROLE_CHECK_INTERVAL_MS);
      }
      return Effect.andThen(this.read(), Effect.sleep(ISOLATED_AFTER_MS));
    }).pipe(
      Effect.catch((failure) => this.#backOff(failure)),
      Effect.forever,
    );
  }

  /** Lists anew after each failure, which finds what was missed meanwhile. */
  #watch(): Effect.Effect<void, Unavailable> {
    const { store, kind, name, onObject: take, isWatcher: watches } =
      this.#options;
    return Effect.gen({ self: this }, function* () {
      const listed = yield* store.list(kind);
      for (const item of listed.items) if (item.name === name) take(item);
      let from = listed.revision;
      while (watches()) {
        const seen = yield* store.watch(kind, { from, waitMs: WATCH_WAIT_MS });
        this.#backoffMs = MIN_BACKOFF_MS;
        for (const event of seen.events) {
          if (event.name !== name || event.type !== "put") continue;
          take({ version: event.version, value: event.value });
        }
        from = Math.max(from, seen.revision);
      }
    });
  }

  #backOff(failure: Unavailable): Effect.Effect<void> {
    return Effect.suspend(() => {
      const jitter = 0.5 + Math.random();
      const waitMs = Math.max(
        failure.retryAfterMs ?? 0,
        this.#backoffMs * jitter,
      );
      this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
      return Effect.sleep(waitMs);
    });
  }
}
