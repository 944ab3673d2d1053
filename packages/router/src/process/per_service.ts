/**
 * Parts that a daemon has for each service.
 *
 * @module
 */

/**
 * One part for each service, made when it is first asked for.
 *
 * @example
 * ```ts
 * const paces = new PerService(() => new StreamPace());
 * paces.of("drafting-llm").msPerToken(runner, now);
 * ```
 */
export class PerService<Part> {
  readonly #make: () => Part;
  readonly #parts = new Map<string, Part>();

  constructor(make: () => Part) {
    this.#make = make;
  }

  /** The part of a service, by its name. */
  of(service: string): Part {
    const known = this.#parts.get(service);
    if (known !== undefined) return known;
    const part = this.#make();
    this.#parts.set(service, part);
    return part;
  }

  /** All parts that were asked for. */
  all(): readonly Part[] {
    return [...this.#parts.values()];
  }

  /** Has all parts made anew. */
  clear(): void {
    this.#parts.clear();
  }
}
