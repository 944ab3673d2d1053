/**
 * Lists all objects of one kind in the platform's store, then watches for changes.
 *
 * @module
 */
import { pause } from "./pause.ts";
import { revisionOfStaleList } from "./store_revision.ts";

/** All objects at one revision of the store. */
export interface Listing<T> {
  /** Also rises when the store is restored; see {@linkcode storeRevision}. */
  readonly revision: number;
  readonly values: readonly T[];
}

/** Changes up to a revision. */
export interface Changes<T> {
  readonly revision: number;
  /** Objects that were added or changed. */
  readonly updated: readonly T[];
  /** Names of removed objects. */
  readonly removed: readonly string[];
}

/** A failed call to the store. */
export class FeedError extends Error {
  /**
   * `expired` if the store does not hold the changes since the given revision,
   * because it dropped them or was restored, so that a new list is needed.
   */
  readonly kind: "expired" | "unavailable";

  constructor(kind: "expired" | "unavailable", message: string) {
    super(message);
    this.kind = kind;
  }
}

/**
 * Reads one kind of object. Both methods reject with {@linkcode FeedError} if the
 * store does not respond or reports a failure.
 */
export interface Feed<T> {
  /**
   * Lists all objects.
   *
   * @param options `stale` accepts a list that is seconds old and costs less.
   */
  list(options?: { readonly stale?: boolean }): Promise<Listing<T>>;
  /**
   * Waits up to `waitMs` for changes; without any, returns empty lists after that
   * time.
   *
   * @param signal ends the wait early; the call then rejects with a
   * {@linkcode FeedError} of kind `unavailable`.
   */
  watch(
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Changes<T>>;
}

/** Receives what a {@linkcode FeedFollower} reads. */
export interface FeedSink<T> {
  /**
   * Called with all objects, which replace those received before.
   *
   * @param options `stale`: whether the list may be seconds old.
   * @returns `false` if the objects were ignored.
   */
  listed(
    listing: Listing<T>,
    options: { readonly stale: boolean },
  ): false | void;
  /** Called with changes since the last call of either method. */
  changed(changes: Changes<T>): void;
}

/** Decides when a follower reads the store, and for how long it waits. */
export interface FollowerTiming {
  /**
   * Maximum wait of the next watch, in ms. A dead connection is detected only
   * when the wait and the response time-out are over, and until then it hides
   * changes. Each wait costs one call.
   */
  waitMs(): number;
  /** Whether to read the store now. */
  shouldRead(): boolean;
  /** Whether the data may be out of date, so that a list must be current. */
  isStale(): boolean;
  /** Whether the store has confirmed the data to another daemon since a time. */
  isConfirmedToOthersSince(time: number): boolean;
  /** Resolves when {@linkcode shouldRead} should be checked again. */
  untilNextCheck(): Promise<void>;
}

/** Backoff in ms after the first failure; doubled after each one, up to the maximum. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 400;
/**
 * Delay in ms between a change and the next watch. Runners that start or leave
 * together, and edits in rapid succession, arrive some tens of ms apart. Without
 * the delay, every change would cost every watcher a call.
 */
const COALESCE_MS = 100;

/** Listener for when the store becomes unavailable, and when it responds again. */
export interface ConnectivityListener {
  /** Called when the store has confirmed that the data is current. */
  confirmed(): void;
  lost(reason: string): void;
  /** @param outageMs time for which the store was unavailable, in ms. */
  regained(outageMs: number): void;
  /** Called when an unavailable store is not needed, as peers have the data. */
  unneeded(): void;
}

/**
 * Lists all objects of a feed and then watches it, until stopped; backs off after
 * failures.
 */
export class FeedFollower<T> {
  readonly #feed: Feed<T>;
  readonly #sink: FeedSink<T>;
  readonly #connectivity: ConnectivityListener;
  readonly #timing: FollowerTiming;
  #stopped = false;
  #revision: number | undefined;
  /** Whether no list has been requested yet. */
  #firstList = true;
  #respondedAt = -Infinity;
  #failedAt = -Infinity;
  #lostAt: number | undefined;
  #backoffMs = INITIAL_BACKOFF_MS;
  /** Lists in a row whose watch expired at once. */
  #expiries = 0;
  /** Aborts the current watch, if there is one. */
  #watchAbort: AbortController | undefined;

  constructor(
    feed: Feed<T>,
    sink: FeedSink<T>,
    options: {
      readonly connectivity: ConnectivityListener;
      readonly timing: FollowerTiming;
    },
  ) {
    this.#feed = feed;
    this.#sink = sink;
    this.#connectivity = options.connectivity;
    this.#timing = options.timing;
  }

  /** Whether the last calls to the store have failed. */
  get isLost(): boolean {
    return this.#lostAt !== undefined;
  }

  /** Whether a watch waits for changes. */
  get isWatching(): boolean {
    return this.#watchAbort !== undefined;
  }

  /** Time of the last failed call to the store, in monotonic ms. */
  get failedAt(): number {
    return this.#failedAt;
  }

  /** Time of the store's last successful response, in monotonic ms. */
  get respondedAt(): number {
    return this.#respondedAt;
  }

  /**
   * Tries to list all objects once, before {@linkcode run} is called. After a
   * failure, {@linkcode run} tries again.
   */
  async readOnce(): Promise<void> {
    if (!this.#stopped) await this.#tryStep();
  }

  /** Lists and watches the feed until {@linkcode stop} is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.#timing.shouldRead()) {
        await this.#tryStep();
        continue;
      }
      this.#forgetLoss();
      await this.#timing.untilNextCheck();
    }
  }

  stop(): void {
    this.#stopped = true;
    this.restartWatch();
  }

  /**
   * Aborts the current watch, so that the next one starts on a new connection.
   * Without a current watch this has no effect: if it marked the next watch as
   * aborted, failures of that watch would be taken for restarts and be retried
   * without a backoff.
   */
  restartWatch(): void {
    this.#watchAbort?.abort();
  }

  async #tryStep(): Promise<void> {
    try {
      if (await this.#step()) this.#recordResponse();
    } catch (error) {
      await this.#handleError(error);
    }
  }

  /**
   * Lists all objects or, if their revision is known, watches once.
   *
   * @returns whether the store has responded.
   */
  async #step(): Promise<boolean> {
    if (this.#revision === undefined) {
      await this.#list();
      return true;
    }
    const changes = await this.#watch(this.#revision);
    if (changes === undefined) return false;
    this.#expiries = 0;
    const changed = changes.revision > this.#revision;
    if (changed) {
      this.#sink.changed(changes);
      this.#revision = changes.revision;
    }
    this.#connectivity.confirmed();
    if (changed) await pause(COALESCE_MS);
    return true;
  }

  /**
   * Lists all objects. The first list may be seconds old, as later changes arrive
   * from the watch that continues at its revision, or from peers. A stale list
   * costs the store a tenth of a current one, which matters when a whole fleet
   * starts: 65 daemons that start together read 260 pages. Later lists must be
   * current: a stale one could be older than what this daemon already has.
   */
  async #list(): Promise<void> {
    const stale = this.#firstList && !this.#timing.isStale();
    this.#firstList = false;
    const listing = await this.#feed.list({ stale });
    const revision = stale
      ? revisionOfStaleList(listing.revision)
      : listing.revision;
    const result = this.#sink.listed({ ...listing, revision }, { stale });
    // The sink may have a list of an earlier epoch, to which changes since this one
    // do not apply.
    if (result === false && revision !== listing.revision) return;
    this.#revision = listing.revision;
    if (!stale) this.#connectivity.confirmed();
  }

  /** Waits for changes; returns undefined if the watch was aborted. */
  async #watch(revision: number): Promise<Changes<T> | undefined> {
    const abort = new AbortController();
    this.#watchAbort = abort;
    try {
      const waitMs = this.#timing.waitMs();
      return await this.#feed.watch(revision, waitMs, abort.signal);
    } catch (error) {
      if (abort.signal.aborted) return undefined;
      throw error;
    } finally {
      this.#watchAbort = undefined;
    }
  }

  #recordResponse(): void {
    this.#respondedAt = performance.now();
    this.#backoffMs = INITIAL_BACKOFF_MS;
    if (this.#lostAt === undefined) return;
    const outageMs = this.#respondedAt - this.#lostAt;
    this.#lostAt = undefined;
    this.#connectivity.regained(outageMs);
  }

  /**
   * Forgets that the store was unavailable when this daemon last read it, once
   * another daemon has read it since.
   */
  #forgetLoss(): void {
    if (this.#lostAt === undefined) return;
    if (!this.#timing.isConfirmedToOthersSince(this.#lostAt)) return;
    this.#lostAt = undefined;
    this.#backoffMs = INITIAL_BACKOFF_MS;
    this.#connectivity.unneeded();
  }

  /**
   * Handles any error, so that the follower continues. An error that is not a
   * {@linkcode FeedError} is most likely caused by a malformed response; if it
   * ended the process, every daemon would restart again and again.
   */
  async #handleError(error: unknown): Promise<void> {
    const expired = error instanceof FeedError && error.kind === "expired";
    if (expired) {
      this.#revision = undefined;
      await this.#pauseAfterExpiry();
      return;
    }
    const reason = error instanceof FeedError ? error.message : String(error);
    await this.#backOff(reason);
  }

  /**
   * Waits unless a watch has succeeded since the last expiry. A store that drops its
   * history at once would otherwise be called without a pause.
   */
  async #pauseAfterExpiry(): Promise<void> {
    const doublings = this.#expiries;
    this.#expiries += 1;
    if (doublings === 0) return;
    await pause(Math.min(INITIAL_BACKOFF_MS * 2 ** doublings, MAX_BACKOFF_MS));
  }

  /**
   * Waits, after which all objects are listed again. If a watch continued at the
   * old revision, it could miss changes when the store has dropped its history
   * meanwhile and does not report the revision as `expired`.
   */
  async #backOff(reason: string): Promise<void> {
    this.#revision = undefined;
    this.#failedAt = performance.now();
    if (this.#lostAt === undefined) {
      this.#lostAt = this.#failedAt;
      this.#connectivity.lost(reason);
    }
    const backoffMs = this.#backoffMs * (0.5 + Math.random());
    this.#backoffMs = Math.min(2 * this.#backoffMs, MAX_BACKOFF_MS);
    await pause(backoffMs);
  }
}
