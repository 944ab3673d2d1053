/**
 * Queue of requests that wait for one runner, at this and at other daemons.
 *
 * @module
 */

/** Sort key of requests that wait for the same runner. */
export interface QueueKey {
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Arrival in monotonic ms of this daemon; the oldest request goes first. */
  readonly arrivedAt: number;
  /**
   * Latest time, in monotonic ms of this daemon, at which the request can be
   * sent and still start on time. Afterwards it goes behind all requests of its
   * rank that can still start on time.
   */
  readonly startBy: number;
  /**
   * Share of the request's workspace; the lowest goes first. Absent where
   * services are not scheduled in shares. See workspace_shares.ts.
   */
  readonly share?: number | undefined;
  /**
   * Returns the key to send to neighbours now, where it changes while the request
   * waits. Its share takes effect here when the neighbours have it: if daemons
   * compared fresh shares of their own requests with older ones of others, all of
   * them would send at once while shares fall, and none while they rise.
   */
  announce?(now: number): QueueKey | undefined;
}

/** A waiting request, or several that a neighbour reports as one entry. */
export interface WaitingEntry extends QueueKey {
  /** Number of requests in this entry. */
  readonly requests: number;
  /** Prompt tokens that the runner will have to prefill for them. */
  readonly unreadTokens: number;
}

/** Work queued ahead of a waiting request. */
export interface WorkAhead {
  readonly requests: number;
  /** Prompt tokens that the runner will have to prefill for these requests. */
  readonly unreadTokens: number;
}

/** Requests that go before an older one by their share. */
export interface LaterRequests {
  readonly requests: number;
  /** Infinity if there is none. */
  readonly lowestShare: number;
}
const NO_WORK: WorkAhead = { requests: 0, unreadTokens: 0 };

/**
 * Whether one request is sent before another one. In a burst that exceeds the
 * engines' capacity, oldest-first alone would make all requests late: each
 * would be sent after its own target has passed, and half of the responses
 * would be of little use to their callers. By age alone, too, a workspace that
 * asks for three times what all runners serve would leave an eighth of its
 * requests to one that asks for 0.3 of it.
 */
export function precedes(
  one: QueueKey,
  other: QueueKey,
  now: number,
): boolean {
  if (one.rank !== other.rank) return one.rank < other.rank;
  const late = one.startBy < now;
  if (late !== other.startBy < now) return !late;
  const bothShared = one.share !== undefined && other.share !== undefined;
  if (bothShared && one.share !== other.share) return one.share! < other.share!;
  return one.arrivedAt < other.arrivedAt;
}

/** Selects the neighbours whose reports count, by name. */
export type NeighbourFilter = (name: string) => boolean;

/** Queue of one runner, with this daemon's requests and neighbours' reports. */
export class RunnerQueue {
  readonly #own = new Set<WaitingEntry>();
  readonly #others = new Map<string, readonly WaitingEntry[]>();
  readonly #onChange: () => void;
  /** The order of this daemon's requests that was last sent to neighbours. */
  #sentOrder = "";

  /** @param onChange called when the waiting requests of this daemon change. */
  constructor(onChange: () => void) {
    this.#onChange = onChange;
  }

  /** Waiting requests of this daemon. */
  get ownEntries(): readonly WaitingEntry[] {
    return [...this.#own];
  }

  /** Whether any request of this daemon waits. */
  get hasOwn(): boolean {
    return this.#own.size > 0;
  }

  /** Whether any request waits, at this or another daemon. */
  get hasAny(): boolean {
    return this.#own.size > 0 || this.#others.size > 0;
  }

  /** Entries of this daemon and those reported by accepted neighbours. */
  entriesFrom(
    accepts: NeighbourFilter,
    now: number,
  ): readonly WaitingEntry[] {
    const reported = [...this.#others].filter(([name]) => accepts(name));
    const own = [...this.#own].map((entry) => {
      const key = entry.announce?.(now);
      if (key === undefined) return entry;
      const { requests, unreadTokens } = entry;
      return { ...key, requests, unreadTokens };
    });
    return [...own, ...reported.flatMap(([, entries]) => entries)];
  }

  /** Requests of a rank that wait at other daemons. */
  othersOfRank(rank: number): number {
    let requests = 0;
    for (const entries of this.#others.values()) {
      for (const entry of entries) {
        if (entry.rank === rank) requests += entry.requests;
      }
    }
    return requests;
  }

  /**
   * Whether the keys of this daemon's requests to send to neighbours have changed
   * since the last call.
   */
  takeReordered(now: number): boolean {
    const order = [...this.#own].flatMap((entry) => {
      const key = entry.announce?.(now);
      return key === undefined ? [] : [key.rank, key.share, key.startBy < now];
    }).join();
    const changed = order !== this.#sentOrder;
    this.#sentOrder = order;
    return changed;
  }

  /** Adds a request of this daemon that waits for capacity. */
  add(entry: WaitingEntry): void {
    this.#own.add(entry);
    this.#onChange();
  }

  /** Removes a request that was sent or has stopped waiting. */
  remove(entry: WaitingEntry): void {
    if (this.#own.delete(entry)) this.#onChange();
  }

  /** Replaces the entries that a neighbour reports for other daemons. */
  setNeighbourEntries(
    neighbour: string,
    entries: readonly WaitingEntry[],
  ): void {
    if (entries.length > 0) this.#others.set(neighbour, entries);
    else this.#others.delete(neighbour);
  }

  /**
   * Sums up the requests that came later than a given one and go before it only
   * because their workspaces have lower shares, and returns the lowest share.
   */
  laterByShare(key: QueueKey, now: number): LaterRequests {
    let requests = 0;
    let lowestShare = Infinity;
    for (const list of [this.#own, ...this.#others.values()]) {
      for (const entry of list) {
        const { share, arrivedAt } = entry;
        if (share === undefined || arrivedAt <= key.arrivedAt) continue;
        const sameRank = entry.rank === key.rank &&
          entry.startBy < now === key.startBy < now;
        if (!sameRank || !precedes(entry, key, now)) continue;
        requests += entry.requests;
        lowestShare = Math.min(lowestShare, share);
      }
    }
    return { requests, lowestShare };
  }

  /**
   * Sums up the requests at any daemon that go before a given one. Without
   * this, all daemons with a waiting request would send it as soon as the
   * runner has capacity: ten prompts at once, then none for seconds.
   *
   * @param since requests count if they go first now or went first at this
   * time. One that another daemon sent in time may become late before this
   * daemon hears that it was sent.
   */
  workAhead(queueKey: QueueKey, now: number, since = now): WorkAhead {
    if (this.#own.size === 0 && this.#others.size === 0) return NO_WORK;
    // Evaluated once, since the share of a waiting request is computed.
    const { rank, arrivedAt, startBy, share } = queueKey;
    const key = { rank, arrivedAt, startBy, share };
    let requests = 0;
    let unreadTokens = 0;
    for (const list of [this.#own, ...this.#others.values()]) {
      for (const entry of list) {
        const first = precedes(entry, key, now) ||
          (since < now && precedes(entry, key, since));
        if (!first) continue;
        requests += entry.requests;
        unreadTokens += entry.unreadTokens;
      }
    }
    return { requests, unreadTokens };
  }
}
