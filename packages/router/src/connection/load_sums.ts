/**
 * Loads of runners, added up for one neighbour.
 *
 * @module
 */
import { groupBy } from "../process/group.ts";
import type { RunnerLoads } from "../process/runner_loads.ts";
import { precedes } from "../process/runner_queue.ts";
import type { NeighbourFilter, WaitingEntry } from "../process/runner_queue.ts";
import type { QueuedRequests, RunnerLoadEntry } from "./peer_message.ts";

/** Milliseconds told of a request without target. */
const LONGEST_LEFT_MS = 3_600_000;
/**
 * Requests that wait for a runner and are told one by one: those that go first.
 * The others of each rank are told as one, so that a long queue takes no more
 * bytes than a short one. None of them goes before the first ones have gone, and
 * until then what changed has been told again.
 */
const TOLD_SINGLY = 4;

/** Adds up what is known here of the loads on runners. */
export class LoadSums {
  readonly #loads: RunnerLoads;

  constructor(loads: RunnerLoads) {
    this.#loads = loads;
  }

  /**
   * The loads on some runners, of this daemon and of those that some neighbours
   * told of. Nobody is told what came from itself.
   */
  of(
    runners: Iterable<string>,
    counts: NeighbourFilter,
  ): readonly RunnerLoadEntry[] {
    const now = performance.now();
    return [...runners].map((runner) => this.#sum(runner, counts, now));
  }

  /** The same loads for one neighbour, without what came from itself. */
  without(
    neighbour: string,
    loads: readonly RunnerLoadEntry[],
  ): readonly RunnerLoadEntry[] {
    const now = performance.now();
    return loads.map((each) =>
      this.#loads.of(each.runner).hasLoadFrom(neighbour)
        ? this.#sum(each.runner, (name) => name !== neighbour, now)
        : each
    );
  }

  /** All loads that there are. */
  all(counts: NeighbourFilter): readonly RunnerLoadEntry[] {
    return this.of(this.#loads.ids(), counts).filter(isLoaded);
  }

  #sum(runner: string, counts: NeighbourFilter, now: number): RunnerLoadEntry {
    const load = this.#loads.of(runner);
    const waiting = inFewEntries(load.queue.entriesFrom(counts), now);
    return {
      runner,
      ...load.sumFrom(counts),
      waiting: waiting.map((each) => newsOf(each, now)),
    };
  }
}

function isLoaded({ inFlight, answered, waiting }: RunnerLoadEntry): boolean {
  return inFlight > 0 || answered > 0 || waiting.length > 0;
}

function newsOf(waiting: WaitingEntry, now: number): QueuedRequests {
  const { rank, arrivedAt: since, startBy, requests, unreadTokens } = waiting;
  return {
    rank,
    requests,
    unreadTokens,
    ageMs: Math.round(now - since),
    leftMs: Math.round(Math.min(startBy - now, LONGEST_LEFT_MS)),
  };
}

/** The same requests in few entries: the first ones, then one for each rank. */
function inFewEntries(
  waiting: readonly WaitingEntry[],
  now: number,
): readonly WaitingEntry[] {
  if (waiting.length <= TOLD_SINGLY) return waiting;
  const ordered = [...waiting].sort((one, other) =>
    precedes(one, other, now) ? -1 : 1
  );
  const others = groupBy(ordered.slice(TOLD_SINGLY), ({ rank }) => rank);
  return [
    ...ordered.slice(0, TOLD_SINGLY),
    ...[...others.values()].map(joined),
  ];
}

/** Some requests of one rank as one entry, of their mean age. */
function joined(waiting: readonly WaitingEntry[]): WaitingEntry {
  const [first] = waiting;
  if (waiting.length === 1) return first!;
  let requests = 0;
  let unreadTokens = 0;
  let since = 0;
  let startBy = 0;
  for (const each of waiting) {
    requests += each.requests;
    unreadTokens += each.unreadTokens;
    since += each.arrivedAt * each.requests;
    startBy += each.startBy * each.requests;
  }
  return {
    rank: first!.rank,
    requests,
    unreadTokens,
    arrivedAt: since / requests,
    startBy: startBy / requests,
  };
}
