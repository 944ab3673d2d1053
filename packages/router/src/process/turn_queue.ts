/**
 * Shares the event loop between work that can wait and all else.
 *
 * @module
 */

/** Time in ms for which turns are run before the event loop goes on. */
const MAX_RUN_MS = 10;

/** Runs turns in order, a few of them in each iteration of the event loop. */
export class TurnQueue {
  #waiting: (() => void)[] = [];
  #scheduled = false;

  /** Adds a turn, which must be short. */
  add(turn: () => void): void {
    this.#waiting.push(turn);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#scheduled) return;
    this.#scheduled = true;
    setImmediate(() => this.#run());
  }

  #run(): void {
    this.#scheduled = false;
    const endAt = performance.now() + MAX_RUN_MS;
    const turns = this.#waiting;
    // What is added meanwhile has its turn after these.
    this.#waiting = [];
    let next = 0;
    try {
      while (next < turns.length && performance.now() < endAt) turns[next++]!();
    } finally {
      // An error in a turn ends the process gracefully; until then others go on.
      this.#waiting = [...turns.slice(next), ...this.#waiting];
      if (this.#waiting.length > 0) this.#schedule();
    }
  }
}
