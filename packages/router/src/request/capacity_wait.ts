/**
 * A request's wait for capacity on a runner, which is reported to all daemons.
 *
 * @module
 */
import type { RunnerLoad } from "../process/runner_load.ts";
import type { QueueKey, WaitingEntry } from "../process/runner_queue.ts";

interface QueuePosition {
  readonly runner: string;
  readonly load: RunnerLoad;
  readonly entry: WaitingEntry;
  readonly joinedAt: number;
}

/** Entry whose place follows its key, which may change while it waits. */
class QueuedRequest implements WaitingEntry {
  readonly #key: QueueKey;
  readonly requests = 1;
  readonly unreadTokens: number;

  constructor(key: QueueKey, unreadTokens: number) {
    this.#key = key;
    this.unreadTokens = unreadTokens;
  }

  get rank(): number {
    return this.#key.rank;
  }

  get arrivedAt(): number {
    return this.#key.arrivedAt;
  }

  get startBy(): number {
    return this.#key.startBy;
  }

  get share(): number | undefined {
    return this.#key.share;
  }

  announce(now: number): QueueKey | undefined {
    return this.#key.announce?.(now);
  }
}

/**
 * The entry of one request in the queue of a runner.
 *
 * A request that finds no capacity joins the queue of its selected runner, and
 * is sent only after all daemons can have received that entry. If requests were
 * sent as soon as capacity appears, those waiting at all daemons would go to
 * the one runner that is free: 22 prompts within 50 ms, which it prefills for 5
 * s back to back, while its streams get one token per 40 ms and time out.
 */
export class CapacityWait {
  #key: QueueKey;
  #position: QueuePosition | undefined;

  constructor(key: QueueKey) {
    this.#key = key;
  }

  /**
   * Joins the queue of a runner, unless the request is in it already.
   *
   * @returns whether the entry in the queue is new.
   */
  moveTo(load: RunnerLoad, options: {
    /** Id of the runner. */
    readonly runner: string;
    readonly prefillTokens: number;
    readonly now: number;
  }): boolean {
    if (this.#position?.load === load) return false;
    this.end();
    const { runner, prefillTokens, now } = options;
    const entry = new QueuedRequest(this.#key, prefillTokens);
    this.#position = { runner, load, entry, joinedAt: now };
    load.queue.add(entry);
    return true;
  }

  /** Leaves the queue; the request joins queues with another key from now on. */
  changeKey(key: QueueKey): void {
    this.end();
    this.#key = key;
  }

  /**
   * Whether the request may be sent to a runner that has capacity: it has not
   * waited at all, or has been in that runner's queue for so long that all
   * daemons have received the entry.
   */
  maySend(load: RunnerLoad, options: {
    readonly now: number;
    /** Milliseconds within which a change reaches all daemons. */
    readonly propagationMs: number;
  }): boolean {
    if (this.#position === undefined) return true;
    const { now, propagationMs } = options;
    return this.#position.load === load &&
      now - this.#position.joinedAt > propagationMs;
  }

  /** Milliseconds that the request has been in its queue; 0 if it is in none. */
  waitedMs(now: number): number {
    return this.#position === undefined ? 0 : now - this.#position.joinedAt;
  }

  /** Id of the runner whose queue the request is in. */
  get runnerId(): string | undefined {
    return this.#position?.runner;
  }

  /** Leaves the queue. */
  end(): void {
    this.#position?.load.queue.remove(this.#position.entry);
    this.#position = undefined;
  }
}
