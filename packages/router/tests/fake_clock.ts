/**
 * Time that passes only when a test lets it, and chance that repeats.
 *
 * @module
 */
import type { TestContext } from "node:test";

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/**
 * Replaces timers, the steady clock and random numbers until {@linkcode restore}. The mocks of
 * `node:test` keep every call, which is gigabytes for hundreds of daemons.
 */
export class FakeClock {
  readonly #settle = setImmediate;
  /** A heap: no timer is later than the two below it. */
  readonly #timers: Timer[] = [];
  #now = 0;
  #order = 0;

  readonly #real = {
    setTimeout: globalThis.setTimeout,
    clearTimeout: globalThis.clearTimeout,
    now: performance.now,
    random: Math.random,
  };
  #seed: number;

  /** @param seed of all random numbers, so that each run is the same. */
  constructor(t: TestContext, seed = 1) {
    this.#seed = seed;
    Math.random = () => this.random();
    performance.now = () => this.#now;
    globalThis.setTimeout = this.#set as unknown as typeof setTimeout;
    globalThis.clearTimeout = ((timer?: Timer) => {
      if (timer !== undefined) timer.cancelled = true;
    }) as typeof clearTimeout;
    t.after(() => this.restore());
  }

  /** Real time passes again. */
  restore(): void {
    globalThis.setTimeout = this.#real.setTimeout;
    globalThis.clearTimeout = this.#real.clearTimeout;
    performance.now = this.#real.now;
    Math.random = this.#real.random;
  }

  /** In [0, 1). */
  random(): number {
    this.#seed = (this.#seed * 48_271) % 2_147_483_647;
    return this.#seed / 2_147_483_647;
  }

  get now(): number {
    return this.#now;
  }

  /** Lets milliseconds pass; whatever follows without waiting has happened. */
  async advance(millis: number): Promise<void> {
    const until = this.#now + millis;
    for (;;) {
      const next = this.#timers[0];
      if (next === undefined || next.at > until) break;
      this.#now = next.at;
      while (this.#timers[0] !== undefined && this.#timers[0].at <= next.at) {
        const timer = this.#take();
        if (!timer.cancelled) timer.run();
      }
      await new Promise<void>((resolve) => this.#settle(resolve));
    }
    this.#now = until;
  }

  readonly #set = (run: () => void, millis = 0): Timer => {
    const at = Math.ceil(this.#now + Math.max(1, millis));
    const timer = { at, order: this.#order++, run, cancelled: false };
    this.#put(timer);
    return Object.assign(timer, { unref: () => timer });
  };

  #put(timer: Timer): void {
    const heap = this.#timers;
    let place = heap.push(timer) - 1;
    while (place > 0) {
      const above = (place - 1) >> 1;
      if (!isBefore(timer, heap[above]!)) break;
      heap[place] = heap[above]!;
      place = above;
    }
    heap[place] = timer;
  }

  #take(): Timer {
    const heap = this.#timers;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let place = 0;
    for (;;) {
      let below = 2 * place + 1;
      if (below >= heap.length) break;
      const right = below + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[below]!)) {
        below = right;
      }
      if (!isBefore(heap[below]!, last)) break;
      heap[place] = heap[below]!;
      place = below;
    }
    heap[place] = last;
    return first;
  }
}

function isBefore(one: Timer, other: Timer): boolean {
  return one.at < other.at || (one.at === other.at && one.order < other.order);
}
