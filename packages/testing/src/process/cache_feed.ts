/**
 * Cache events as the outside gets them: late and with gaps.
 *
 * @module
 */
import type { CacheEvent } from "./prefix_cache.ts";

interface Published {
  readonly event: CacheEvent;
  /** Epoch milliseconds before which nobody sees it. */
  readonly visibleAt: number;
}

const KEPT_EVENTS = 10_000;
const POLL_MS = 20;

/** Publishes cache events after a lag, losing some. */
export class CacheFeed {
  readonly #lagMs: number;
  readonly #lost: () => boolean;
  #events: Published[] = [];
  #first = 0;

  constructor(options: {
    readonly lagMs: number;
    /** Tells of each event whether it is lost. */
    readonly lost: () => boolean;
  }) {
    this.#lagMs = options.lagMs;
    this.#lost = options.lost;
  }

  publish(event: CacheEvent): void {
    if (this.#lost()) return;
    this.#events.push({ event, visibleAt: Date.now() + this.#lagMs });
    if (this.#events.length <= KEPT_EVENTS) return;
    this.#events.shift();
    this.#first += 1;
  }

  /** Events from number `from` on, waiting for the first one. */
  async read(
    from: number,
    waitMs: number,
  ): Promise<
    { readonly next: number; readonly events: readonly CacheEvent[] }
  > {
    const until = Date.now() + waitMs;
    let found = this.#visible(from);
    while (found.length === 0 && Date.now() < until) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      found = this.#visible(from);
    }
    const next = Math.max(from, this.#first) + found.length;
    return { next, events: found };
  }

  #visible(from: number): readonly CacheEvent[] {
    const now = Date.now();
    return this.#events
      .slice(Math.max(0, from - this.#first))
      .filter(({ visibleAt }) => visibleAt <= now)
      .map(({ event }) => event);
  }
}
