/**
 * A set that notifies when it becomes empty.
 *
 * @module
 */
import * as Effect from "effect/Effect";

/** A set of items, such as requests in flight, that notifies when it is empty. */
export class TrackedSet<Item> {
  readonly #items = new Set<Item>();
  #waiters: (() => void)[] = [];

  /** Completes when the set is empty; immediately if it already is. */
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

  /** Iterates over the items in insertion order. */
  [Symbol.iterator](): Iterator<Item> {
    return this.#items.values();
  }
}
