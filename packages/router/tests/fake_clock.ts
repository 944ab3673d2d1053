/**
 * A clock that tests advance by hand, with repeatable random numbers.
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
 * Replaces timers, the monotonic clock and random numbers until {@linkcode restore}.
 * The mocks of `node:test` record every call, which takes gigabytes of memory for
 * hundreds of daemons.
 */
export class FakeClock {
  readonly #setImmediate = setImmediate;
  /** Pending timers as a binary min-heap, by time and then by order of creation. */
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

  /** @param seed seed of all random numbers, so that every run is the same. */
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

  /** Restores the real timers, clock and random numbers. */
  restore(): void {
    globalThis.setTimeout = this.#real.setTimeout;
    globalThis.clearTimeout = this.#real.clearTimeout;
    performance.now = this.#real.now;
    Math.random = this.#real.random;
  }

  /** Returns the next random number in [0, 1). */
  random(): number {
    this.#seed = (this.#seed * 48_271) % 2_147_483_647;
    return this.#seed / 2_147_483_647;
  }

  get now(): number {
    return this.#now;
  }

  /** Advances the clock, and runs all timers that are due and what they trigger. */
  async advance(millis: number): Promise<void> {
    const end = this.#now + millis;
    for (;;) {
      const next = this.#timers[0];
      if (next === undefined || next.at > end) break;
      this.#now = next.at;
      while (this.#timers[0] !== undefined && this.#timers[0].at <= next.at) {
        const timer = this.#pop();
        if (!timer.cancelled) timer.run();
      }
      await new Promise<void>((resolve) => this.#setImmediate(resolve));
    }
    this.#now = end;
  }

  readonly #set = (run: () => void, millis = 0): Timer => {
    const at = Math.ceil(this.#now + Math.max(1, millis));
    const timer = { at, order: this.#order++, run, cancelled: false };
    this.#push(timer);
    return Object.assign(timer, { unref: () => timer });
  };

  #push(timer: Timer): void {
    const heap = this.#timers;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  #pop(): Timer {
    const heap = this.#timers;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(one: Timer, other: Timer): boolean {
  return one.at < other.at || (one.at === other.at && one.order < other.order);
}
