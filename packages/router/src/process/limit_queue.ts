/**
 * Order of requests that wait for runners at their rate limits.
 *
 * @module
 */
import { precedes } from "./runner_queue.ts";
import type { QueueKey } from "./runner_queue.ts";

/**
 * Queue of this daemon's requests for one service all of whose runners have
 * reached their rate limits. All waiting requests check at the same time
 * whether a runner accepts one more; without an order, a less urgent one could
 * be sent.
 */
export class LimitQueue {
  readonly #keys = new Set<QueueKey>();

  /** Adds a waiting request; {@linkcode remove} takes it out again. */
  add(key: QueueKey): void {
    this.#keys.add(key);
  }

  /** Removes a request that no longer waits. */
  remove(key: QueueKey): void {
    this.#keys.delete(key);
  }

  /** Whether no other waiting request goes before this one. */
  isFirst(key: QueueKey, now: number): boolean {
    for (const other of this.#keys) {
      if (other !== key && precedes(other, key, now)) return false;
    }
    return true;
  }
}
