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

const NO_WORK: WorkAhead = { requests: 0, unreadTokens: 0 };

/**
 * Whether one request is sent before another one. In a burst that exceeds the
 * engines' capacity, oldest-first alone would make all requests late: each
 * would be sent after its own target has passed, and half of the responses
 * would be of little use to their callers.
 */
export function precedes(
  one: QueueKey,
  other: QueueKey,
  now: number,
): boolean {
  if (one.rank !== other.rank) return one.rank < other.rank;
  const late = one.startBy < now;
  if (late !== other.startBy < now) return !late;
  return one.arrivedAt < other.arrivedAt;
}

/** Selects the neighbours whose reports count, by name. */
export type NeighbourFilter = (name: string) => boolean;

/** Queue of one runner, with this daemon's requests and neighbours' reports. */
export class RunnerQueue {
  readonly #own = new Set<WaitingEntry>();
  readonly #others = new Map<string, readonly WaitingEntry[]>();
  readonly #onChange: () => void;

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

  /** Entries of this daemon and those reported by accepted neighbours. */
  entriesFrom(accepts: NeighbourFilter): readonly WaitingEntry[] {
    const reported = [...this.#others].filter(([name]) => accepts(name));
    return [...this.#own, ...reported.flatMap(([, entries]) => entries)];
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
   * Sums up the requests at any daemon that go before a given one. Without
   * this, all daemons with a waiting request would send it as soon as the
   * runner has capacity: ten prompts at once, then none for seconds.
   */
  workAhead(key: QueueKey, now: number): WorkAhead {
    if (this.#own.size === 0 && this.#others.size === 0) return NO_WORK;
    let requests = 0;
    let unreadTokens = 0;
    for (const list of [this.#own, ...this.#others.values()]) {
      for (const entry of list) {
        if (!precedes(entry, key, now)) continue;
        requests += entry.requests;
        unreadTokens += entry.unreadTokens;
      }
    }
    return { requests, unreadTokens };
  }
}
