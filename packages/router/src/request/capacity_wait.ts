/**
 * A request's wait for room on a runner, told to all daemons.
 *
 * @module
 */
import type { RunnerLoad } from "../process/runner_load.ts";
import type { QueueKey, WaitingEntry } from "../process/runner_queue.ts";

interface Place {
  readonly runner: string;
  readonly load: RunnerLoad;
  readonly waiting: WaitingEntry;
  readonly since: number;
}

/**
 * The place of one request among those that wait for a runner.
 *
 * A request that was told of no room joins the others at the runner of its
 * choice, and is sent only after all daemons can have heard of that. Sent as
 * soon as room is seen, requests that wait at every daemon go to the one runner
 * that is free: 22 prompts within 50 ms, which it reads for 5 s without pause,
 * while its streams get a token each 40 ms and run into their timeouts.
 */
export class CapacityWait {
  readonly #turn: QueueKey;
  #place: Place | undefined;

  constructor(turn: QueueKey) {
    this.#turn = turn;
  }

  /**
   * Waits at a runner from now on, unless it does already.
   *
   * @returns whether the wait there is new.
   */
  moveTo(load: RunnerLoad, options: {
    /** Id of the runner. */
    readonly runner: string;
    readonly unreadTokens: number;
    readonly now: number;
  }): boolean {
    if (this.#place?.load === load) return false;
    this.end();
    const { runner, unreadTokens, now } = options;
    const waiting = { ...this.#turn, requests: 1, unreadTokens };
    this.#place = { runner, load, waiting, since: now };
    load.queue.add(waiting);
    return true;
  }

  /**
   * Whether the request may be sent to a runner that has room: it has not
   * waited at all, or there for long enough that all daemons know.
   */
  maySend(load: RunnerLoad, options: {
    readonly now: number;
    /** Milliseconds in which a change is known to all daemons. */
    readonly propagationMs: number;
  }): boolean {
    if (this.#place === undefined) return true;
    const { now, propagationMs: settleMs } = options;
    return this.#place.load === load && now - this.#place.since > settleMs;
  }

  /** Id of the runner that it waits for. */
  get runnerId(): string | undefined {
    return this.#place?.runner;
  }

  /** Waits no more. */
  end(): void {
    this.#place?.load.queue.remove(this.#place.waiting);
    this.#place = undefined;
  }
}
