/**
 * Reads and watches one object in the store.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Store, StoredObject, Unavailable } from "../process/store.ts";
import type { StoreConfirmation } from "./store_confirmation.ts";

/**
 * Maximum wait of one watch. A watch on a connection that has gone silent looks
 * like a watch without events until its wait is over. An edit made meanwhile takes effect only after
 * that, and later still if the list that follows also uses a silent connection.
 * Since two members of each failure domain watch, one call per second by each
 * is far below the rate that the store can serve.
 */
const WATCH_WAIT_MS = 1_000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;
/**
 * Interval at which a member that is not a watcher checks whether it is one
 * now.
 */
const RECHECK_MS = 1_000;
/**
 * A member without contact to any other for this long reads the store itself.
 */
const ISOLATED_AFTER_MS = 5_000;
/**
 * A member that knows of no confirmation by the store for this long reads the
 * store itself, although it has contact to others. Confirmations spread with the
 * pulls of each second: in a simulation with 195 members and 12 watchers, 0.005
 * members at a time had an older one.
 */
const UNCONFIRMED_AFTER_MS = 8_000;
/**
 * Maximum random delay of such a read. All members lose their confirmations at
 * about the same time, and the first read spares most of the others.
 */
const READ_SPREAD_MS = 4_000;

/** Settings of a {@linkcode StoreFollower}. */
export interface StoreFollowerOptions {
  readonly store: Store;
  readonly kind: string;
  readonly name: string;
  /** Whether this process watches the store on behalf of its failure domain. */
  readonly isWatcher: () => boolean;
  /** Milliseconds since the last message from another member. */
  readonly msSinceContact: () => number;
  /** Updated by this follower, and from the answers of other members. */
  readonly confirmation: StoreConfirmation;
  /** Called with each version read from the store. */
  readonly onObject: (
    found: { readonly version: number; readonly value: unknown },
  ) => void;
  /** Called with an error that is thrown, after which the follower goes on. */
  readonly onFault: (error: unknown) => void;
}

/**
 * Watches the object while this process is a watcher, and reads it when
 * isolated, when the store has not confirmed it for long, or when a member sent an
 * invalid copy.
 */
export class StoreFollower {
  readonly #options: StoreFollowerOptions;
  #backoffMs = MIN_BACKOFF_MS;

  constructor(options: StoreFollowerOptions) {
    this.#options = options;
  }

  /** Reads the object once. */
  read(): Effect.Effect<StoredObject | undefined, Unavailable> {
    const { store, kind, name, onObject, confirmation } = this.#options;
    return Effect.gen(function* () {
      const sentAt = confirmation.now();
      const found = yield* store.read(kind, name);
      if (found !== undefined) onObject(found);
      confirmation.recordOwn(sentAt);
      return found;
    });
  }

  /** Reads the object once; returns whether the store responded. */
  tryRead(): Effect.Effect<boolean> {
    return Effect.match(this.read(), {
      onFailure: () => false,
      onSuccess: () => true,
    }).pipe(Effect.catchDefect((defect) => this.#report(defect, false)));
  }

  /** Follows the object until interrupted. */
  run(): Effect.Effect<never> {
    const { isWatcher, msSinceContact } = this.#options;
    return Effect.suspend(() => {
      if (isWatcher()) return this.#watch();
      if (msSinceContact() >= ISOLATED_AFTER_MS) {
        return Effect.andThen(this.read(), Effect.sleep(ISOLATED_AFTER_MS));
      }
      if (this.#needsRead()) return this.#readAfterDelay();
      return Effect.sleep(RECHECK_MS);
    }).pipe(
      Effect.catch((failure) => this.#backOff(failure)),
      // Uncaught, a defect would end this fibre, and nothing would tell so.
      Effect.catchDefect((defect) =>
        Effect.andThen(this.#report(defect, undefined), this.#backOff({}))
      ),
      Effect.forever,
    );
  }

  #report<T>(defect: unknown, result: T): Effect.Effect<T> {
    return Effect.sync(() => {
      this.#options.onFault(defect);
      return result;
    });
  }

  #needsRead(): boolean {
    const { isDoubted, ageMs } = this.#options.confirmation;
    return isDoubted || ageMs >= UNCONFIRMED_AFTER_MS;
  }

  /** Reads the object after a random delay, unless that is no longer needed. */
  #readAfterDelay(): Effect.Effect<void, Unavailable> {
    const read = Effect.suspend(() =>
      this.#needsRead() ? Effect.asVoid(this.read()) : Effect.void
    );
    return Effect.suspend(() =>
      Effect.andThen(Effect.sleep(Math.random() * READ_SPREAD_MS), read)
    );
  }

  /**
   * Watches after a list, which finds the changes missed since the last
   * failure.
   */
  #watch(): Effect.Effect<void, Unavailable> {
    const { store, kind, name, onObject, isWatcher } = this.#options;
    const { confirmation } = this.#options;
    return Effect.gen({ self: this }, function* () {
      let sentAt = confirmation.now();
      const listed = yield* store.list(kind);
      for (const item of listed.items) if (item.name === name) onObject(item);
      confirmation.recordOwn(sentAt);
      let from = listed.revision;
      while (isWatcher()) {
        sentAt = confirmation.now();
        const changes = yield* store.watch(kind, {
          from,
          waitMs: WATCH_WAIT_MS,
        });
        this.#backoffMs = MIN_BACKOFF_MS;
        for (const event of changes.events) {
          if (event.name !== name || event.type !== "put") continue;
          onObject({ version: event.version, value: event.value });
        }
        confirmation.recordOwn(sentAt);
        from = Math.max(from, changes.revision);
      }
    });
  }

  #backOff(failure: Pick<Unavailable, "retryAfterMs">): Effect.Effect<void> {
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
