/**
 * Prefix affinity: the runner that last received each prompt prefix and may have
 * it in its KV cache.
 *
 * @module
 */

/** Engines evict prefixes too, so older entries have no value. */
const MAX_PREFIXES = 4_096;

/** A bounded map from prefix digest to runner with LRU eviction. */
export class PrefixAffinity {
  readonly #runners = new Map<string, string>();

  find(prefix: string | undefined): string | undefined {
    return prefix === undefined ? undefined : this.#runners.get(prefix);
  }

  set(prefix: string | undefined, runner: string): void {
    if (prefix === undefined) return;
    this.#runners.delete(prefix);
    this.#runners.set(prefix, runner);
    if (this.#runners.size <= MAX_PREFIXES) return;
    const oldest = this.#runners.keys().next().value;
    if (oldest !== undefined) this.#runners.delete(oldest);
  }
}
