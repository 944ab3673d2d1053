/**
 * Distributes a versioned value from the store to all daemons.
 *
 * @module
 */
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import { SYSTEM_CLOCK } from "../process/clock.ts";
import type { Clock } from "../process/clock.ts";
import type { Membership } from "../process/membership.ts";
import { notifyListeners } from "../process/notify_listeners.ts";
import { PauseDetector } from "../process/pause_detector.ts";
import type { Peers } from "../process/peers.ts";
import type { Store } from "../process/store.ts";
import type { Json } from "./json_delta.ts";
import { StoreConfirmation } from "./store_confirmation.ts";
import { StoreFollower } from "./store_follower.ts";
import { VersionExchange } from "./version_exchange.ts";
import type { VersionSource } from "./version_exchange.ts";
import { VersionHistory } from "./version_history.ts";
import { chooseWatchers } from "./watchers.ts";

const PULL_INTERVAL_MS = 1_000;
const SYNC_RETRY_MS = 1_000;

/** A value and the version that the store assigned to it. */
export interface VersionedValue<T> {
  readonly version: number;
  readonly value: T;
}

/** Settings of a {@linkcode PublishedValue}. */
export interface PublishedValueOptions<T> {
  readonly store: Store;
  readonly peers: Peers;
  readonly membership: Membership;
  /** Kind of the object in the store; no other object may have this kind. */
  readonly kind: string;
  readonly name: string;
  /** Validates a value from the store or a peer; throws if it is invalid. */
  readonly decode: (value: unknown) => T;
  /**
   * Called with a version that `decode` rejects; the current value is then kept.
   */
  readonly onRejected?: (version: number, error: unknown) => void;
  /**
   * Called with an error that a listener throws, or that is thrown while a
   * version is received. The value is followed on.
   */
  readonly onFault?: (error: unknown) => void;
  readonly clock?: Clock;
  /** Detects pauses of the process; a new detector by default. */
  readonly pauseDetector?: PauseDetector;
}

/**
 * A local replica of one object in the store, kept at the newest version.
 *
 * Two members of each failure domain watch the store and broadcast changes
 * within their domain. Each member also pulls a newer version, if there is one,
 * from a random member every second, which recovers versions missed through lost
 * messages or a network partition. The answers tell how long ago the store last
 * confirmed the value; a member without a recent confirmation reads the store
 * itself, as all members that it hears may be cut off from it. A version is applied only if it is higher than
 * the current one, whoever sends it, so a stale copy never reverts the value.
 *
 * Construct it, run {@linkcode PublishedValue.start}, then await
 * {@linkcode PublishedValue.ready}.
 *
 * @example
 * ```ts
 * const table = new PublishedValue({ store, peers, membership, kind: "table",
 *   name: "current", decode });
 * yield* table.start();
 * const { version, value } = yield* table.ready;
 * ```
 */
export class PublishedValue<T> {
  readonly #options: PublishedValueOptions<T>;
  readonly #history = new VersionHistory();
  readonly #exchange: VersionExchange;
  readonly #follower: StoreFollower;
  readonly #pauseDetector: PauseDetector;
  readonly #listeners = new Set<(value: VersionedValue<T>) => void>();
  #ready = Deferred.makeUnsafe<VersionedValue<T>>();
  #isSynced = false;
  #current: VersionedValue<T> | undefined;
  /** The highest invalid version from the store or this process. */
  #rejectedVersion = 0;
  /** The invalid version that was reported last. */
  #reportedVersion = 0;
  readonly #confirmation: StoreConfirmation;

  constructor(options: PublishedValueOptions<T>) {
    this.#options = options;
    const clock = options.clock ?? SYSTEM_CLOCK;
    const { store, peers, membership, kind, name } = options;
    const channel = `published/${kind}/${name}`;
    this.#pauseDetector = options.pauseDetector ?? new PauseDetector({ clock });
    const confirmation = new StoreConfirmation(clock);
    this.#confirmation = confirmation;
    this.#exchange = new VersionExchange({
      peers,
      membership,
      clock,
      channel,
      history: this.#history,
      confirmation,
      onFault: (error) => this.#options.onFault?.(error),
      applyIfNewer: (candidate, source) =>
        this.#applyIfNewer(candidate, source),
      knownVersion: () =>
        Math.max(this.#history.newestVersion, this.#rejectedVersion),
    });
    this.#follower = new StoreFollower({
      store,
      kind,
      name,
      isWatcher: () =>
        chooseWatchers(membership.view(), membership.self, channel).isWatcher,
      msSinceContact: () => this.#exchange.msSinceContact,
      confirmation,
      onFault: (error) => this.#options.onFault?.(error),
      onObject: ({ version, value }) => {
        this.#applyIfNewer({ version, value: value as Json }, "store");
      },
    });
  }

  /** Returns the current value; undefined until the first one is received. */
  current(): VersionedValue<T> | undefined {
    return this.#current;
  }

  /**
   * Completes with the current value once the store or a peer has responded: after
   * the start, and again after a pause of the process. If neither responds, a
   * value that this process already has is sufficient.
   */
  get ready(): Effect.Effect<VersionedValue<T>> {
    return Effect.suspend(() => {
      this.#pauseDetector.check();
      return Deferred.await(this.#ready);
    });
  }

  /** Whether {@linkcode PublishedValue.ready} would complete immediately. */
  get isReady(): boolean {
    this.#pauseDetector.check();
    return Deferred.isDoneUnsafe(this.#ready);
  }

  /** The current version, as a digest that heartbeats carry. */
  readonly digest = {
    read: (): unknown => this.#history.newestVersion,
    receive: (from: string, digest: unknown): void =>
      this.#exchange.receiveVersion(from, digest),
  };

  /**
   * Calls the listener with the current value after each change.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (value: VersionedValue<T>) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Applies a value that this process has written to the store, and broadcasts
   * it immediately, so that peers receive it even if the store fails after the
   * write.
   */
  publish(candidate: { readonly version: number; readonly value: unknown }) {
    const { version, value } = candidate;
    this.#applyIfNewer({ version, value: value as Json }, "own");
  }

  /**
   * Queries the current version of each other member; undefined for unreachable
   * ones.
   */
  peerVersions(): Effect.Effect<ReadonlyMap<string, number | undefined>> {
    return this.#exchange.peerVersions();
  }

  /**
   * Starts to keep the value up to date, until the scope closes. Does not wait for
   * {@linkcode PublishedValue.ready}.
   */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const scope = yield* Effect.scope;
      this.#exchange.serve();
      const unsubscribe = this.#pauseDetector.subscribe(() => {
        this.#markUnready();
        Effect.runFork(Effect.forkIn(this.#sync(), scope));
      });
      yield* Effect.addFinalizer(() => Effect.sync(unsubscribe));
      if (this.#options.pauseDetector === undefined) {
        yield* this.#pauseDetector.start();
      }
      yield* Effect.forkScoped(this.#sync());
      yield* Effect.forkScoped(this.#follower.run());
      const pull = Effect.andThen(
        Effect.sleep(PULL_INTERVAL_MS),
        this.#exchange.pullFromRandomPeer(),
      );
      yield* Effect.forkScoped(Effect.forever(pull));
    });
  }

  /**
   * Reads the store and catches up with the peers, and retries until the store or
   * a peer has responded, or this process has a value. Then `ready` can complete.
   */
  #sync(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        const [storeRead, { reached }] = yield* Effect.all([
          this.#follower.tryRead(),
          this.#exchange.catchUp(),
        ], { concurrency: "unbounded" });
        const hasValue = this.#current !== undefined;
        // A daemon that had a value before a pause keeps using it if it reaches
        // neither the store nor a peer: refusing all callers would not make the
        // value newer.
        if (storeRead || reached > 0 || hasValue) break;
        yield* Effect.sleep(SYNC_RETRY_MS);
      }
      this.#isSynced = true;
      this.#completeReady();
    });
  }

  #markUnready(): void {
    this.#isSynced = false;
    if (!Deferred.isDoneUnsafe(this.#ready)) return;
    this.#ready = Deferred.makeUnsafe();
  }

  #completeReady(): void {
    if (!this.#isSynced || this.#current === undefined) return;
    Deferred.doneUnsafe(this.#ready, Effect.succeed(this.#current));
  }

  /**
   * Records an invalid version. A copy of another member may be damaged, so it does
   * not mark the version: the store's own value of that version may be valid.
   */
  #reject(version: number, source: VersionSource): void {
    if (source === "store" || source === "own") this.#rejectedVersion = version;
    else this.#confirmation.doubt();
  }

  #applyIfNewer(
    candidate: { readonly version: number; readonly value: Json },
    source: VersionSource,
  ): boolean {
    const { version, value } = candidate;
    const previous = this.#history.newestVersion;
    if (version <= Math.max(previous, this.#rejectedVersion)) return false;
    let decoded: T;
    try {
      decoded = this.#options.decode(value);
    } catch (error) {
      this.#reject(version, source);
      if (version === this.#reportedVersion) return false;
      this.#reportedVersion = version;
      this.#options.onRejected?.(version, error);
      return false;
    }
    this.#current = { version, value: decoded };
    this.#history.add(version, value);
    this.#exchange.broadcast(source, { previous });
    notifyListeners(this.#listeners, this.#current, {
      onFault: (error) => this.#options.onFault?.(error),
    });
    this.#completeReady();
    return true;
  }
}
