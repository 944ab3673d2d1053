/**
 * A set that tells when it is empty.
 *
 * @module
 */
import * as Effect from "effect/Effect";

/** Holds items, such as requests under way, and tells when none is left. */
export class TrackedSet<Item> {
  readonly #items = new Set<Item>();
  #waiters: (() => void)[] = [];

  /** Ends when the set is empty; at once if it is. */
  readonly whenEmpty: Effect.Effect<void> = Effect.callback((resume) => {
    if (this.#items.size === 0) return resume(Effect.void);
    this.#waiters.push(() => resume(Effect.void));
  });

  get size(): number {
    return this.#items.size;
  }

  add(item: Item): void {
    this.#items.add(item);
  }

  delete(item: Item): void {
    this.#items.delete(item);
    if (this.#items.size > 0) return;
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const resume of waiters) resume();
  }

  /** The items, in order of addition. */
  [Symbol.iterator](): Iterator<Item> {
    return this.#items.values();
  }
}
