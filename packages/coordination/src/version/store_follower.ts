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
const SHORTEST_PAUSE_MS = 250;
const LONGEST_PAUSE_MS = 2_000;
/** How often a member that is not to watch looks whether it is now. */
const IDLE_MS = 1_000;
/** A member that hears no other for this long reads the store itself. */
const ISOLATED_AFTER_MS = 5_000;

/** What a {@linkcode StoreFollower} needs. */
export interface StoreFollowerOptions {
  readonly store: Store;
  readonly kind: string;
  readonly name: string;
  /** Whether this process is to watch for others. */
  readonly watches: () => boolean;
  /** Milliseconds since another member was heard. */
  readonly silenceMs: () => number;
  readonly take: (
    found: { readonly version: number; readonly value: unknown },
  ) => void;
}

/** Watches the object while this process is to, and reads it when isolated. */
export class StoreFollower {
  readonly #options: StoreFollowerOptions;
  #pauseMs = SHORTEST_PAUSE_MS;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
  }

  /** Reads the object once. */
  read(): Effect.Effect<StoredObject | undefined, Unavailable> {
    const { store, kind, name, take } = this.#options;
    return Effect.tap(
      store.read(kind, name),
      (found) => Effect.sync(() => found !== undefined && take(found)),
    );
  }

  /** Follows until it is interrupted. */
  run(): Effect.Effect<never> {
    const { watches, silenceMs } = this.#options;
    return Effect.suspend(() => {
      if (watches()) return this.#watch();
      if (silenceMs() < ISOLATED_AFTER_MS) return Effect.sleep(IDLE_MS);
      return Effect.andThen(this.read(), Effect.sleep(ISOLATED_AFTER_MS));
    }).pipe(
      Effect.catch((failure) => this.#pause(failure)),
      Effect.forever,
    );
  }

  /** Lists anew after each failure, which finds what was missed meanwhile. */
  #watch(): Effect.Effect<void, Unavailable> {
    const { store, kind, name, take, watches } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const listed = yield* store.list(kind);
      for (const item of listed.items) if (item.name === name) take(item);
      let from = listed.revision;
      while (watches()) {
        const seen = yield* store.watch(kind, { from, waitMs: WATCH_WAIT_MS });
        this.#pauseMs = SHORTEST_PAUSE_MS;
        for (const event of seen.events) {
          if (event.name !== name || event.type !== "put") continue;
          take({ version: event.version, value: event.value });
        }
        from = Math.max(from, seen.revision);
      }
    });
  }

  #pause(failure: Unavailable): Effect.Effect<void> {
    return Effect.suspend(() => {
      const jitter = 0.5 + Math.random();
      const waitMs = Math.max(
        failure.retryAfterMs ?? 0,
        this.#pauseMs * jitter,
      );
      this.#pauseMs = Math.min(LONGEST_PAUSE_MS, this.#pauseMs * 2);
      return Effect.sleep(waitMs);
    });
  }
}
