/**
 * Requests that wait for one runner, at this daemon and at all others.
 *
 * @module
 */

/** Order of requests that wait for the same runner. */
export interface QueueKey {
  /** 0 is the most urgent and goes first. */
  readonly rank: number;
  /** When the request came, in steady ms of this daemon; the oldest goes first. */
  readonly arrivedAt: number;
  /**
   * Until when it can be sent and still begin on time, in steady ms of this
   * daemon. Afterwards it goes behind all of its rank that still can.
   */
  readonly startBy: number;
}

/** A request that waits until a runner has room, or a few that are told as one. */
export interface WaitingEntry extends QueueKey {
  /** How many requests it stands for. */
  readonly requests: number;
  /** Prompt tokens that the runner will have to read for them. */
  readonly unreadTokens: number;
}

/** What goes before a request that waits. */
export interface WorkAhead {
  readonly requests: number;
  /** Prompt tokens that the runner will have to read for them. */
  readonly unreadTokens: number;
}

/**
 * Whether one request goes before another one. Oldest first alone makes all late
 * in a burst that engines cannot serve whole: each is sent when its own target
 * has passed, and half of what is served is of little use to its caller.
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

/** Whether what a neighbour told counts, by the neighbour's name. */
export type NeighbourFilter = (name: string) => boolean;

/** The requests that wait for one runner, as far as neighbours have told. */
export class RunnerQueue {
  readonly #own = new Set<WaitingEntry>();
  readonly #others = new Map<string, readonly WaitingEntry[]>();
  readonly #onChange: () => void;

  /** @param onChange called when what waits at this daemon changes. */
  constructor(onChange: () => void) {
    this.#onChange = onChange;
  }

  /** Requests of this daemon that wait for room. */
  get ownEntries(): readonly WaitingEntry[] {
    return [...this.#own];
  }

  /** Whether requests of this daemon wait for room. */
  get hasOwn(): boolean {
    return this.#own.size > 0;
  }

  /** Requests that wait at this daemon and, as some neighbours told, elsewhere. */
  entriesFrom(counts: NeighbourFilter): readonly WaitingEntry[] {
    const told = [...this.#others].filter(([name]) => counts(name));
    return [...this.#own, ...told.flatMap(([, waiting]) => waiting)];
  }

  /** Counts a request that waits here until the runner has room. */
  add(waiting: WaitingEntry): void {
    this.#own.add(waiting);
    this.#onChange();
  }

  /** It was sent, or waits no more. */
  remove(waiting: WaitingEntry): void {
    if (this.#own.delete(waiting)) this.#onChange();
  }

  /** Takes what a neighbour tells to wait elsewhere. */
  setNeighbourEntries(
    neighbour: string,
    waiting: readonly WaitingEntry[],
  ): void {
    if (waiting.length > 0) this.#others.set(neighbour, waiting);
    else this.#others.delete(neighbour);
  }

  /**
   * What waits at any daemon and goes before a request. Without it every daemon
   * that holds a request would send it at the moment when the runner has room:
   * ten prompts at once, then none for seconds.
   */
  workAhead(turn: QueueKey, now: number): WorkAhead {
    let requests = 0;
    let unreadTokens = 0;
    for (const list of [this.#own, ...this.#others.values()]) {
      for (const each of list) {
        if (!precedes(each, turn, now)) continue;
        requests += each.requests;
        unreadTokens += each.unreadTokens;
      }
    }
    return { requests, unreadTokens };
  }
}
