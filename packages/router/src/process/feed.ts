/**
 * Reading of one kind of object in the platform's store: a list, then watches.
 *
 * @module
 */
import { pause } from "./pause.ts";

/** All objects at one revision of the store. */
export interface Listing<T> {
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
   * `expired` if the store no longer holds the changes since the given revision,
   * so that a new list is needed.
   */
  readonly kind: "expired" | "unavailable";

  constructor(kind: "expired" | "unavailable", message: string) {
    super(message);
    this.kind = kind;
  }
}

/** Reads one kind of object. Both calls throw {@linkcode FeedError}. */
export interface Feed<T> {
  /**
   * Lists all objects.
   *
   * @param options `stale` accepts a list that is seconds old and costs less.
   */
  list(options?: { readonly stale?: boolean }): Promise<Listing<T>>;
  /**
   * Waits up to `waitMs` for changes, and returns an empty set after that time.
   *
   * @param signal ends the wait early; the call then fails as `unavailable`.
   */
  watch(
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Changes<T>>;
}

/** Receives the objects that a follower reads. */
export interface FeedSink<T> {
  listed(listing: Listing<T>): void;
  changed(changes: Changes<T>): void;
}

/** Decides when a follower reads the store, and for how long it waits. */
export interface FollowerTiming {
  /**
   * Maximum wait of the next watch, in ms. A dead connection is detected only
   * when the wait and the response time-out are over, so this bounds how long a
   * change can be missed. Each wait costs one call.
   */
  waitMs(): number;
  /** Whether to read the store now. */
  shouldRead(): boolean;
  /** Resolves when {@linkcode shouldRead} should be checked again. */
  untilNextCheck(): Promise<void>;
}

/** Backoff in ms after the first failure; doubled up to the maximum. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 400;
/**
 * Delay in ms between a change and the next watch. Runners that start or leave
 * together, and edits in rapid succession, arrive some tens of ms apart. Without
 * the delay, every change would cost every watcher a call.
 */
const COALESCE_MS = 100;

/** Is notified when the store becomes unavailable, and when it responds again. */
export interface ConnectivityListener {
  lost(reason: string): void;
  /** @param outageMs duration of the failure, in ms. */
  regained(outageMs: number): void;
}

/** Follows a feed until it is stopped, with a backoff after failures. */
export class FeedFollower<T> {
  readonly #feed: Feed<T>;
  readonly #sink: FeedSink<T>;
  readonly #connectivity: ConnectivityListener;
  readonly #timing: FollowerTiming;
  #stopped = false;
  #revision: number | undefined;
  /** Whether the next list is the first one of this process. */
  #firstList = true;
  #confirmedAt = -Infinity;
  #lostAt: number | undefined;
  #backoffMs = INITIAL_BACKOFF_MS;
  /** Aborts the current watch, if there is one. */
  #wait: AbortController | undefined;

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

  /** Time of the store's last response, in monotonic ms. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Tries to read all objects once. {@linkcode run} retries after a failure. */
  async readOnce(): Promise<void> {
    if (!this.#stopped) await this.#tryStep();
  }

  /** Follows the feed until {@linkcode stop} is called. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.#timing.shouldRead()) await this.#tryStep();
      else await this.#timing.untilNextCheck();
    }
  }

  stop(): void {
    this.#stopped = true;
    this.restartWatch();
  }

  /**
   * Aborts the current watch, so that the next one starts on a new connection.
   * Without a current watch this has no effect. Otherwise later failures would be
   * taken for restarts and be retried without a backoff.
   */
  restartWatch(): void {
    this.#wait?.abort();
  }

  async #tryStep(): Promise<void> {
    try {
      if (await this.#step()) this.#recordResponse();
    } catch (error) {
      await this.#handleError(error);
    }
  }

  /** @returns whether the store has responded. */
  async #step(): Promise<boolean> {
    if (this.#revision === undefined) {
      await this.#list();
      return true;
    }
    const changes = await this.#watch(this.#revision);
    if (changes === undefined) return false;
    if (changes.revision <= this.#revision) return true;
    this.#sink.changed(changes);
    this.#revision = changes.revision;
    await pause(COALESCE_MS);
    return true;
  }

  /**
   * Lists all objects. The first list of a process may be seconds old, as later
   * changes arrive from the watch that continues at its revision, or from peers.
   * A stale list costs a tenth of a current one, and 65 daemons that start
   * together read 260 pages. After a failure the list must be current.
   */
  async #list(): Promise<void> {
    const stale = this.#firstList;
    this.#firstList = false;
    const listing = await this.#feed.list({ stale });
    this.#sink.listed(listing);
    this.#revision = listing.revision;
  }

  /** Waits for changes; returns nothing if the watch was restarted. */
  async #watch(revision: number): Promise<Changes<T> | undefined> {
    const wait = new AbortController();
    this.#wait = wait;
    try {
      const waitMs = this.#timing.waitMs();
      return await this.#feed.watch(revision, waitMs, wait.signal);
    } catch (error) {
      if (wait.signal.aborted) return undefined;
      throw error;
    } finally {
      this.#wait = undefined;
    }
  }

  #recordResponse(): void {
    this.#confirmedAt = performance.now();
    this.#backoffMs = INITIAL_BACKOFF_MS;
    if (this.#lostAt === undefined) return;
    const afterMs = this.#confirmedAt - this.#lostAt;
    this.#lostAt = undefined;
    this.#connectivity.regained(afterMs);
  }

  /**
   * Continues after any error. One that is not a {@linkcode FeedError} is caused
   * by a malformed response. If it ended the process, every daemon would restart
   * again and again.
   */
  async #handleError(error: unknown): Promise<void> {
    const expired = error instanceof FeedError && error.kind === "expired";
    if (expired) {
      this.#revision = undefined;
      return;
    }
    const reason = error instanceof FeedError ? error.message : String(error);
    await this.#backOff(reason);
  }

  /**
   * Waits, and has all objects listed again. A watch that continued at the old
   * revision could miss changes if the store has dropped its history meanwhile.
   */
  async #backOff(reason: string): Promise<void> {
    this.#revision = undefined;
    if (this.#lostAt === undefined) {
      this.#lostAt = performance.now();
      this.#connectivity.lost(reason);
    }
    const backoffMs = this.#backoffMs * (0.5 + Math.random());
    this.#backoffMs = Math.min(2 * this.#backoffMs, MAX_BACKOFF_MS);
    await pause(backoffMs);
  }
}
