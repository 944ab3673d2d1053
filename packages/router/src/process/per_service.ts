/**
 * Objects that a daemon has per service.
 *
 * @module
 */

/**
 * Holds one object for each service, created on first access.
 *
 * @example
 * ```ts
 * const paces = new PerService(() => new StreamPace());
 * paces.of("drafting-llm").msPerToken(runner, now);
 * ```
 */
export class PerService<Item> {
  readonly #create: () => Item;
  readonly #items = new Map<string, Item>();

  constructor(create: () => Item) {
    this.#create = create;
  }

  /** Returns the object of a service, by the service's name. */
  of(service: string): Item {
    const known = this.#items.get(service);
    if (known !== undefined) return known;
    const item = this.#create();
    this.#items.set(service, item);
    return item;
  }

  /** Returns all objects created so far. */
  all(): readonly Item[] {
    return [...this.#items.values()];
  }

  /** Discards all objects, so that they are created anew. */
  clear(): void {
    this.#items.clear();
  }
}
