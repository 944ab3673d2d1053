/**
 * A set of objects in the platform's store, listed once and then watched.
 *
 * @module
 */

/** All objects at one revision of the store. */
export interface Listing<T> {
  readonly revision: number;
  readonly values: readonly T[];
}

/** What changed up to a revision. */
export interface Changes<T> {
  readonly revision: number;
  readonly entered: readonly T[];
  /** Names of objects that are gone. */
  readonly left: readonly string[];
}

/** A call to the store that gave nothing to go on with. */
export class FeedError extends Error {
  /** `expired`: the changes since that revision are gone; list again. */
  readonly kind: "expired" | "unavailable";

  constructor(kind: "expired" | "unavailable", message: string) {
    super(message);
    this.kind = kind;
  }
}

/** Reads one kind of object. Both calls throw {@linkcode FeedError}. */
export interface Feed<T> {
  list(): Promise<Listing<T>>;
  /** Waits up to `waitMs` for changes; none when the time is over. */
  watch(since: number, waitMs: number): Promise<Changes<T>>;
}

/** Takes what a follower reads. */
export interface FeedSink<T> {
  listed(listing: Listing<T>): void;
  changed(changes: Changes<T>): void;
}

/** How a follower waits, in ms. */
export interface FollowerTiming {
  /**
   * Longest wait of one watch. A connection that went silent is found when
   * the wait and the time for an answer are over, so this bounds how long a
   * change can be missed; each wait costs one call.
   */
  readonly waitMs: number;
  /** First pause after a failure; doubled up to the longest. */
  readonly firstPauseMs: number;
  readonly longestPauseMs: number;
}

/** Used unless told otherwise: 2 s is the usual bound on a change in force. */
export const FOLLOWER_TIMING: FollowerTiming = {
  waitMs: 1_500,
  firstPauseMs: 50,
  longestPauseMs: 400,
};

/** Told of lost and regained contact. */
export interface ContactListener {
  lost(reason: string): void;
  regained(afterMs: number): void;
}

/** Follows a feed for as long as the process lives. */
export class Follower<T> {
  readonly #feed: Feed<T>;
  readonly #sink: FeedSink<T>;
  readonly #contact: ContactListener;
  readonly #timing: FollowerTiming;
  #stopped = false;
  #revision: number | undefined;
  #confirmedAt = -Infinity;
  #lostAt: number | undefined;
  #pauseMs: number;

  constructor(
    feed: Feed<T>,
    sink: FeedSink<T>,
    options: {
      readonly contact: ContactListener;
      readonly timing?: FollowerTiming;
    },
  ) {
    this.#feed = feed;
    this.#sink = sink;
    this.#contact = options.contact;
    this.#timing = options.timing ?? FOLLOWER_TIMING;
    this.#pauseMs = this.#timing.firstPauseMs;
  }

  /** Steady milliseconds at which the store last answered. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Whether the last call failed. */
  get lost(): boolean {
    return this.#lostAt !== undefined;
  }

  /** Reads until {@linkcode stop}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#step();
        this.#heard();
      } catch (error) {
        if (!(error instanceof FeedError)) throw error;
        if (error.kind === "expired") this.#revision = undefined;
        else await this.#failed(error.message);
      }
    }
  }

  stop(): void {
    this.#stopped = true;
  }

  async #step(): Promise<void> {
    if (this.#revision === undefined) {
      const listing = await this.#feed.list();
      this.#sink.listed(listing);
      this.#revision = listing.revision;
      return;
    }
    const changes = await this.#feed.watch(this.#revision, this.#timing.waitMs);
    if (changes.revision <= this.#revision) return;
    this.#sink.changed(changes);
    this.#revision = changes.revision;
  }

  #heard(): void {
    this.#confirmedAt = performance.now();
    this.#pauseMs = this.#timing.firstPauseMs;
    if (this.#lostAt === undefined) return;
    const afterMs = this.#confirmedAt - this.#lostAt;
    this.#lostAt = undefined;
    this.#contact.regained(afterMs);
  }

  async #failed(reason: string): Promise<void> {
    if (this.#lostAt === undefined) {
      this.#lostAt = performance.now();
      this.#contact.lost(reason);
    }
    const pauseMs = this.#pauseMs * (0.5 + Math.random());
    this.#pauseMs = Math.min(2 * this.#pauseMs, this.#timing.longestPauseMs);
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
}
