/**
 * Requests that wait until a runner takes more.
 *
 * @module
 */
import { precedes } from "./runner_queue.ts";
import type { QueueKey } from "./runner_queue.ts";

/**
 * The requests of this daemon that wait for runners of one service, all of which
 * have had what they take. All look at the same moment whether one takes more;
 * without an order a less urgent one would get it.
 */
export class LimitQueue {
  readonly #turns = new Set<QueueKey>();

  /** Waits from now on; {@linkcode remove} ends it. */
  add(turn: QueueKey): void {
    this.#turns.add(turn);
  }

  remove(turn: QueueKey): void {
    this.#turns.delete(turn);
  }

  /** Whether no request that waits goes before this one. */
  isFirst(turn: QueueKey, now: number): boolean {
    for (const each of this.#turns) {
      if (each !== turn && precedes(each, turn, now)) return false;
    }
    return true;
  }
}
