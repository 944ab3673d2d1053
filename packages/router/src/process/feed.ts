/**
 * A set of objects in the platform's store, listed once and then watched.
 *
 * @module
 */

import { pause } from "./pause.ts";

/** All objects at one revision of the store. */
export interface Listing<T> {
  readonly revision: number;
  readonly values: readonly T[];
}

/** What changed up to a revision. */
export interface Changes<T> {
  readonly revision: number;
  readonly updated: readonly T[];
  /** Names of objects that are gone. */
  readonly removed: readonly string[];
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
  /** @param options `stale` takes a list that is seconds old and costs less. */
  list(options?: { readonly stale?: boolean }): Promise<Listing<T>>;
  /**
   * Waits up to `waitMs` for changes; none when the time is over.
   *
   * @param signal ends the wait early, as unavailable.
   */
  watch(
    since: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<Changes<T>>;
}

/** Takes what a follower reads. */
export interface FeedSink<T> {
  listed(listing: Listing<T>): void;
  changed(changes: Changes<T>): void;
}

/** How a follower waits. */
export interface FollowerTiming {
  /**
   * Longest wait of the next watch, in ms. A connection that went silent is
   * found when the wait and the time for an answer are over, so this bounds how
   * long a change can be missed; each wait costs one call.
   */
  waitMs(): number;
  /** Whether to read the store now. */
  active(): boolean;
  /** Waits until {@linkcode active} is to be asked again. */
  untilActive(): Promise<void>;
}

/** First pause after a failure, in ms; doubled up to the longest. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 400;
/**
 * Milliseconds after a change until the next wait begins. Runners that start or
 * leave together, and edits in a storm, come some tens of ms apart; without the
 * rest each of them costs each watcher a call.
 */
const REST_MS = 100;
/** Told of lost and regained contact. */
export interface ConnectivityListener {
  lost(reason: string): void;
  regained(afterMs: number): void;
}

/** Follows a feed for as long as the process lives. */
export class FeedFollower<T> {
  readonly #feed: Feed<T>;
  readonly #sink: FeedSink<T>;
  readonly #contact: ConnectivityListener;
  readonly #timing: FollowerTiming;
  #stopped = false;
  #revision: number | undefined;
  /** Whether the next list is the first of this process. */
  #first = true;
  #confirmedAt = -Infinity;
  #lostAt: number | undefined;
  #pauseMs = FIRST_PAUSE_MS;
  /** Ends the wait for changes, while there is one. */
  #wait: AbortController | undefined;

  constructor(
    feed: Feed<T>,
    sink: FeedSink<T>,
    options: {
      readonly contact: ConnectivityListener;
      readonly timing: FollowerTiming;
    },
  ) {
    this.#feed = feed;
    this.#sink = sink;
    this.#contact = options.contact;
    this.#timing = options.timing;
  }

  /** Steady milliseconds at which the store last answered. */
  get confirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Reads everything once; a failure is left to {@linkcode run}. */
  async readOnce(): Promise<void> {
    if (!this.#stopped) await this.#tryStep();
  }

  /** Reads until {@linkcode stop}. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      if (this.#timing.active()) await this.#tryStep();
      else await this.#timing.untilActive();
    }
  }

  stop(): void {
    this.#stopped = true;
    this.restartWatch();
  }

  /**
   * Ends the present wait for changes, so that the next one starts on a new
   * connection. Without a wait it changes nothing, or failures that follow
   * would count as hurries and have no pause between them.
   */
  restartWatch(): void {
    this.#wait?.abort();
  }

  async #tryStep(): Promise<void> {
    try {
      if (await this.#step()) this.#heard();
    } catch (error) {
      await this.#caught(error);
    }
  }

  /** @returns whether the store has answered. */
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
    await pause(REST_MS);
    return true;
  }

  /**
   * Reads everything. The first list of a process may be seconds old: what has
   * changed since follows from the watch that goes on from its revision, or from
   * peers. It costs a tenth, and 65 daemons that start together read 260 pages.
   * After a failure only the present state will do.
   */
  async #list(): Promise<void> {
    const stale = this.#first;
    this.#first = false;
    const listing = await this.#feed.list({ stale });
    this.#sink.listed(listing);
    this.#revision = listing.revision;
  }

  /** Waits for changes; none when the wait was ended by a hurry. */
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

  #heard(): void {
    this.#confirmedAt = performance.now();
    this.#pauseMs = FIRST_PAUSE_MS;
    if (this.#lostAt === undefined) return;
    const afterMs = this.#confirmedAt - this.#lostAt;
    this.#lostAt = undefined;
    this.#contact.regained(afterMs);
  }

  /**
   * Goes on after any error. One that is no {@linkcode FeedError} comes from an
   * answer of another shape than promised; ending the process for it would have
   * every daemon restart for ever.
   */
  async #caught(error: unknown): Promise<void> {
    const expired = error instanceof FeedError && error.kind === "expired";
    if (expired) {
      this.#revision = undefined;
      return;
    }
    const reason = error instanceof FeedError ? error.message : String(error);
    await this.#failed(reason);
  }

  /**
   * Reads everything again after a failure: a watch that goes on from the old
   * revision may be deaf to what changed while the store dropped its history.
   */
  async #failed(reason: string): Promise<void> {
    this.#revision = undefined;
    if (this.#lostAt === undefined) {
      this.#lostAt = performance.now();
      this.#contact.lost(reason);
    }
    const pauseMs = this.#pauseMs * (0.5 + Math.random());
    this.#pauseMs = Math.min(2 * this.#pauseMs, LONGEST_PAUSE_MS);
    await pause(pauseMs);
  }
}
