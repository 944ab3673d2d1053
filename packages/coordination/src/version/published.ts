/**
 * One value, in force at every daemon.
 *
 * @module
 */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import type { Membership } from "../process/membership.ts";
import type { Peers } from "../process/peers.ts";
import type { Store } from "../process/store.ts";

const WATCH_WAIT_MS = 30_000;
const PAUSE_AFTER_FAILURE_MS = 500;

/** A value with the version that the store gave it. */
export interface VersionedValue<T> {
  readonly version: number;
  readonly value: T;
}

/** Settings of a {@linkcode Published}. */
export interface PublishedOptions<T> {
  readonly store: Store;
  readonly peers: Peers;
  readonly membership: Membership;
  /** Kind of the object in the store; nothing else may have this kind. */
  readonly kind: string;
  readonly name: string;
  /** Checks a value from the store or a peer; throws when it is not valid. */
  readonly decode: (value: unknown) => T;
}

/**
 * Follows one object of the store. Daemons apply only higher versions, so what
 * is in force never reverts.
 */
export class Published<T> {
  readonly #options: PublishedOptions<T>;
  readonly #listeners = new Set<(value: VersionedValue<T>) => void>();
  readonly #ready = Deferred.makeUnsafe<VersionedValue<T>>();
  #current: VersionedValue<T> | undefined;

  constructor(options: PublishedOptions<T>) {
    this.#options = options;
  }

  /** The value in force here; undefined until the first is known. */
  current(): VersionedValue<T> | undefined {
    return this.#current;
  }

  /** Ends when a value is in force here. */
  get ready(): Effect.Effect<VersionedValue<T>> {
    return Deferred.await(this.#ready);
  }

  /**
   * Calls the listener after each change, with the value in force.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (value: VersionedValue<T>) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Puts a value in force that this process has written, if it is newer. */
  offer(candidate: { readonly version: number; readonly value: unknown }) {
    if (candidate.version <= (this.#current?.version ?? 0)) return;
    const value = this.#options.decode(candidate.value);
    this.#current = { version: candidate.version, value };
    Deferred.doneUnsafe(this.#ready, Effect.succeed(this.#current));
    for (const listener of [...this.#listeners]) listener(this.#current);
  }

  /** Follows the object until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.asVoid(Effect.forkScoped(this.#follow()));
  }

  #follow(): Effect.Effect<never> {
    const { store, kind, name } = this.#options;
    return Effect.gen({ self: this }, function* () {
      const listed = yield* store.list(kind);
      for (const item of listed.items) {
        if (item.name === name) this.offer(item);
      }
      let from = listed.revision;
      while (true) {
        const seen = yield* store.watch(kind, { from, waitMs: WATCH_WAIT_MS });
        for (const event of seen.events) {
          if (event.name !== name || event.type !== "put") continue;
          this.offer({ version: event.version, value: event.value });
        }
        from = seen.revision;
      }
    }).pipe(
      Effect.catch(() => Effect.sleep(PAUSE_AFTER_FAILURE_MS)),
      Effect.forever,
    );
  }
}
