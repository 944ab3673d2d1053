/**
 * The engine's bounded cache of prompt prefixes, and its events.
 *
 * @module
 */

/** A change of the cache. */
export interface CacheEvent {
  readonly type: "stored" | "evicted";
  /** Digest of the prefix. */
  readonly prefix: string;
}

/** Keeps the most recently used prefixes within a bound of tokens. */
export class PrefixCache {
  readonly #capacity: number;
  readonly #changed: (event: CacheEvent) => void;
  /** Tokens by digest, least recently used first. */
  readonly #entries = new Map<string, number>();
  #used = 0;

  constructor(capacity: number, changed: (event: CacheEvent) => void) {
    this.#capacity = capacity;
    this.#changed = changed;
  }

  get used(): number {
    return this.#used;
  }

  /** Tokens held for a prefix, 0 when it is not held. */
  get(prefix: string): number {
    return this.#entries.get(prefix) ?? 0;
  }

  /** As `get`, and marks the prefix as used. */
  take(prefix: string): number {
    const tokens = this.#entries.get(prefix);
    if (tokens === undefined) return 0;
    this.#entries.delete(prefix);
    this.#entries.set(prefix, tokens);
    return tokens;
  }

  /** Holds a prefix, dropping others to make room. */
  store(prefix: string, tokens: number): void {
    if (tokens > this.#capacity || this.#entries.has(prefix)) return;
    for (const [other, held] of this.#entries) {
      if (this.#used + tokens <= this.#capacity) break;
      this.#entries.delete(other);
      this.#used -= held;
      this.#changed({ type: "evicted", prefix: other });
    }
    this.#entries.set(prefix, tokens);
    this.#used += tokens;
    this.#changed({ type: "stored", prefix });
  }
}
