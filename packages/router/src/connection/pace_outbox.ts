/**
 * Runners whose observed pace waits to be sent to neighbours.
 *
 * @module
 */

/** Maximum number of runners in one message, about 1.2 KB; others wait. */
const MAX_RUNNERS = 20;
/** Minimum milliseconds between two messages with paces. */
const MIN_INTERVAL_MS = 250;
/**
 * Minimum milliseconds between two messages for each receiver: paces take at
 * most 6 KB a second of a daemon, however many neighbours it has.
 */
const INTERVAL_PER_RECEIVER_MS = 200;
/**
 * Minimum milliseconds between two messages about one runner: each stream adds
 * observations many times a second, of which no single one matters.
 */
const RUNNER_INTERVAL_MS = 2_000;
/** Maximum number of runners that wait, and of those sent that are remembered. */
const MAX_REMEMBERED = 5_000;

/**
 * Collects the runners with new observations for one group of neighbours. They
 * go with the next message and trigger none.
 */
export class PaceOutbox {
  readonly #urgent = new Set<string>();
  readonly #normal = new Set<string>();
  readonly #sentAt = new Map<string, number>();
  #nextAt = -Infinity;

  /** @param runners ids, each with whether it is to be sent at once. */
  add(runners: ReadonlyMap<string, boolean>): void {
    for (const [runner, urgent] of runners) {
      if (this.#urgent.size + this.#normal.size >= MAX_REMEMBERED) return;
      if (urgent) this.#urgent.add(runner);
      else this.#normal.add(runner);
    }
  }

  /** Removes and returns the runners to send now to a number of receivers. */
  take(receivers: number, now: number): readonly string[] {
    if (now < this.#nextAt || receivers === 0) return [];
    const taken: string[] = [];
    const isDue = (runner: string) =>
      now - (this.#sentAt.get(runner) ?? -Infinity) >= RUNNER_INTERVAL_MS;
    for (const runner of [...this.#urgent, ...this.#normal]) {
      if (taken.length >= MAX_RUNNERS) break;
      if (!this.#urgent.has(runner) && !isDue(runner)) continue;
      if (taken.includes(runner)) continue;
      taken.push(runner);
    }
    if (taken.length === 0) return [];
    if (this.#sentAt.size > MAX_REMEMBERED) this.#sentAt.clear();
    for (const runner of taken) {
      this.#urgent.delete(runner);
      this.#normal.delete(runner);
      this.#sentAt.set(runner, now);
    }
    this.#nextAt = now +
      Math.max(MIN_INTERVAL_MS, receivers * INTERVAL_PER_RECEIVER_MS);
    return taken;
  }
}
