/**
 * Sums the loads on runners for updates to neighbours.
 *
 * @module
 */
import { groupBy } from "../process/group.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import { precedes } from "../process/runner_queue.ts";
import type { NeighbourFilter, WaitingEntry } from "../process/runner_queue.ts";
import type { QueuedRequests, RunnerLoadEntry } from "./peer_message.ts";

/** Maximum of `leftMs`, which a request without a latency target gets. */
const MAX_LEFT_MS = 3_600_000;
/**
 * Requests at the head of a runner's queue that have an entry of their own in
 * an update. The others are merged into one entry for each rank, so that a long
 * queue takes no more bytes than a short one. None of these is served before
 * the first ones, and by then a newer update has been sent.
 */
const MAX_SINGLE_ENTRIES = 4;

/** Sums the loads on runners over this daemon and selected neighbours. */
export class LoadSums {
  readonly #loads: RunnerLoads;

  constructor(loads: RunnerLoads) {
    this.#loads = loads;
  }

  /**
   * Loads on the given runners, summed over this daemon and the neighbours
   * selected by `includes`. The caller leaves out the neighbour that the update
   * is for.
   */
  forRunners(
    runners: Iterable<string>,
    includes: NeighbourFilter,
  ): readonly RunnerLoadEntry[] {
    const now = performance.now();
    return [...runners].map((runner) => this.#sum(runner, includes, now));
  }

  /** The same loads for one neighbour, without those that it reported itself. */
  without(
    neighbour: string,
    loads: readonly RunnerLoadEntry[],
  ): readonly RunnerLoadEntry[] {
    const now = performance.now();
    return loads.map((load) =>
      this.#loads.of(load.runner).hasLoadFrom(neighbour)
        ? this.#sum(load.runner, (name) => name !== neighbour, now)
        : load
    );
  }

  /** Loads on all runners that have any. */
  snapshot(includes: NeighbourFilter): readonly RunnerLoadEntry[] {
    return this.forRunners(this.#loads.ids(), includes).filter(isLoaded);
  }

  #sum(
    runner: string,
    includes: NeighbourFilter,
    now: number,
  ): RunnerLoadEntry {
    const load = this.#loads.of(runner);
    const waiting = compact(load.queue.entriesFrom(includes, now), now);
    return {
      runner,
      ...load.sumFrom(includes),
      waiting: waiting.map((entry) => toQueuedRequests(entry, now)),
    };
  }
}

function isLoaded({ inFlight, answered, waiting }: RunnerLoadEntry): boolean {
  return inFlight > 0 || answered > 0 || waiting.length > 0;
}

function toQueuedRequests(waiting: WaitingEntry, now: number): QueuedRequests {
  const { rank, arrivedAt, startBy, requests, unreadTokens, share } = waiting;
  return {
    rank,
    requests,
    unreadTokens,
    ageMs: Math.round(now - arrivedAt),
    leftMs: Math.round(Math.min(startBy - now, MAX_LEFT_MS)),
    share: share === undefined ? undefined : Math.round(share),
  };
}

/**
 * Compacts a queue into a few entries: the first ones, then one for each rank. A
 * rank whose requests have shares gets up to three entries.
 */
function compact(
  waiting: readonly WaitingEntry[],
  now: number,
): readonly WaitingEntry[] {
  if (waiting.length <= MAX_SINGLE_ENTRIES) return waiting;
  const ordered = [...waiting].sort((one, other) =>
    precedes(one, other, now) ? -1 : 1
  );
  const others = groupBy(ordered.slice(MAX_SINGLE_ENTRIES), ({ rank }) => rank);
  return [
    ...ordered.slice(0, MAX_SINGLE_ENTRIES),
    ...[...others.values()].flatMap((ofRank) => split(ofRank, now)).map(merge),
  ];
}

/**
 * Splits the requests of a rank, in order, into those that are on time, at the
 * greatest gap between their shares, and those that are late. In one entry, 200
 * requests of a workspace would hide the one of a workspace that has received
 * little, and daemons would send theirs before it.
 */
function split(
  ordered: readonly WaitingEntry[],
  now: number,
): readonly (readonly WaitingEntry[])[] {
  if (ordered.some(({ share }) => share === undefined)) return [ordered];
  const [onTime, late] = partition(ordered, ({ startBy }) => startBy >= now);
  let widest = 0;
  let end = 0;
  for (let index = 1; index < onTime.length; index += 1) {
    const gap = onTime[index]!.share! - onTime[index - 1]!.share!;
    if (gap <= widest) continue;
    widest = gap;
    end = index;
  }
  return [onTime.slice(0, end), onTime.slice(end), late]
    .filter((entries) => entries.length > 0);
}

function partition<Item>(
  items: readonly Item[],
  belongs: (item: Item) => boolean,
): readonly [Item[], Item[]] {
  return [items.filter(belongs), items.filter((item) => !belongs(item))];
}

/** Merges requests of one rank into one entry, with their mean age and share. */
function merge(waiting: readonly WaitingEntry[]): WaitingEntry {
  const [first] = waiting;
  if (waiting.length === 1) return first!;
  let requests = 0;
  let unreadTokens = 0;
  let arrivedAt = 0;
  let startBy = 0;
  let share = 0;
  for (const entry of waiting) {
    requests += entry.requests;
    unreadTokens += entry.unreadTokens;
    arrivedAt += entry.arrivedAt * entry.requests;
    startBy += entry.startBy * entry.requests;
    share += (entry.share ?? NaN) * entry.requests;
  }
  return {
    rank: first!.rank,
    requests,
    unreadTokens,
    arrivedAt: arrivedAt / requests,
    startBy: startBy / requests,
    share: Number.isNaN(share) ? undefined : share / requests,
  };
}
