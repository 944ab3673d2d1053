/**
 * Which runner was last given a prompt prefix, and so may have it cached.
 *
 * @module
 */

/** Engines evict too, so older homes are worth nothing. */
const LIMIT = 4_096;

/** A bounded map from prefix digest to runner, the least recently used out first. */
export class PrefixHomes {
  readonly #homes = new Map<string, string>();

  find(prefix: string | undefined): string | undefined {
    return prefix === undefined ? undefined : this.#homes.get(prefix);
  }

  set(prefix: string | undefined, runner: string): void {
    if (prefix === undefined) return;
    this.#homes.delete(prefix);
    this.#homes.set(prefix, runner);
    if (this.#homes.size <= LIMIT) return;
    const oldest = this.#homes.keys().next().value;
    if (oldest !== undefined) this.#homes.delete(oldest);
  }
}
