/**
 * The epoch of the platform's store, and for how long this daemon has known it.
 *
 * @module
 */
import { epochOf } from "./store_revision.ts";

/** Tracks the latest epoch of the store that this daemon has learned of. */
export class KnownEpoch {
  readonly #now: () => number;
  #epoch = -1;
  #since = -Infinity;

  /** @param now returns monotonic ms. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** The epoch; -1 before the first revision. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Since when it is known, in monotonic ms. */
  get since(): number {
    return this.#since;
  }

  /** Milliseconds for which it is known. */
  get ageMs(): number {
    return this.#now() - this.#since;
  }

  /** Learns of the epoch of a revision; an earlier one is ignored. */
  observe(revision: number): void {
    const epoch = epochOf(revision);
    if (epoch <= this.#epoch) return;
    this.#epoch = epoch;
    this.#since = this.#now();
  }
}
