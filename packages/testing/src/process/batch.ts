/**
 * Continuous batching: one step loop carries all running sequences.
 *
 * @module
 */
import type { PrefixCache } from "./prefix_cache.ts";

/** What the batch needs of a sequence. */
export interface Sequence {
  /** 0 is admitted first. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Digest of the prompt's beginning. */
  readonly prefix: string;
  /** Tokens that the prefix stands for. */
  readonly prefixTokens: number;
  /** Tokens generated so far. */
  readonly tokens: number;
  /** Nobody waits for it any more; it leaves at the next step. */
  readonly cancelled: boolean;
  /** Generates a token. Returns true when it was the last. */
  emit(): boolean;
}

/** Costs and bounds of a batch. */
export interface BatchLimits {
  /** Sequences that run at once. */
  readonly maxBatch: number;
  /** Sequences that may wait. */
  readonly maxWaiting: number;
  readonly baseStepMs: number;
  /** Added to a step for each running sequence. */
  readonly stepMsPerSequence: number;
  readonly prefillMsPerToken: number;
  /** Prompt tokens worked through in one step. */
  readonly prefillTokensPerStep: number;
}

interface Running {
  readonly sequence: Sequence;
  /** Prompt tokens still to work through. */
  prefillLeft: number;
}

const MINIMUM_STEP_MS = 3;

/** The step loop of one engine. */
export class Batch {
  readonly #limits: BatchLimits;
  readonly #cache: PrefixCache;
  readonly #slowdown: () => number;
  #waiting: Sequence[] = [];
  #running: Running[] = [];
  #timer: NodeJS.Timeout | undefined;
  #dueAt = 0;
  #stepMs = MINIMUM_STEP_MS;

  /** `slowdown` gives the factor on the step time; 1 when nothing is wrong. */
  constructor(
    limits: BatchLimits,
    options: {
      readonly cache: PrefixCache;
      readonly slowdown: () => number;
    },
  ) {
    this.#limits = limits;
    this.#cache = options.cache;
    this.#slowdown = options.slowdown;
  }

  get running(): number {
    return this.#running.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Length of the latest step in milliseconds. */
  get stepMs(): number {
    return this.#stepMs;
  }

  /** Tokens held by the running sequences. */
  get tokens(): number {
    return this.#running.reduce(
      (sum, { sequence }) => sum + sequence.promptTokens + sequence.tokens,
      0,
    );
  }

  /** Queues a sequence; false when the queue is full. */
  submit(sequence: Sequence): boolean {
    if (this.#waiting.length >= this.#limits.maxWaiting) return false;
    const after = this.#waiting.findIndex((other) =>
      other.priority > sequence.priority
    );
    const place = after === -1 ? this.#waiting.length : after;
    this.#waiting.splice(place, 0, sequence);
    if (this.#timer === undefined) this.#begin(performance.now());
    return true;
  }

  close(): void {
    clearTimeout(this.#timer);
  }

  #begin(now: number): void {
    this.#running = this.#running.filter(({ sequence }) => !sequence.cancelled);
    this.#waiting = this.#waiting.filter((sequence) => !sequence.cancelled);
    this.#admit();
    if (this.#running.length === 0) {
      this.#timer = undefined;
      return;
    }
    const prefilled = this.#prefill();
    const { baseStepMs, stepMsPerSequence, prefillMsPerToken } = this.#limits;
    const worked = baseStepMs + stepMsPerSequence * this.#running.length +
      prefillMsPerToken * prefilled;
    this.#stepMs = Math.max(MINIMUM_STEP_MS, worked) * this.#slowdown();
    // Timers have whole milliseconds. Counting from when the last step was due
    // keeps the mean; a process that is behind does not catch up in a burst.
    const from = now - this.#dueAt < 1 ? this.#dueAt : now;
    this.#dueAt = from + this.#stepMs;
    this.#timer = setTimeout(() => this.#end(), Math.ceil(this.#dueAt - now));
  }

  #end(): void {
    const now = performance.now();
    this.#running = this.#running.filter(({ sequence, prefillLeft }) => {
      if (prefillLeft > 0) return true;
      return !sequence.cancelled && !sequence.emit();
    });
    this.#begin(now);
  }

  #admit(): void {
    while (this.#running.length < this.#limits.maxBatch) {
      const sequence = this.#waiting.shift();
      if (sequence === undefined) return;
      const cached = this.#cache.take(sequence.prefix);
      this.#cache.store(sequence.prefix, sequence.prefixTokens);
      const prefillLeft = Math.max(0, sequence.promptTokens - cached);
      this.#running.push({ sequence, prefillLeft });
    }
  }

  #prefill(): number {
    let budget = this.#limits.prefillTokensPerStep;
    for (const running of this.#running) {
      const tokens = Math.min(budget, running.prefillLeft);
      running.prefillLeft -= tokens;
      budget -= tokens;
    }
    return this.#limits.prefillTokensPerStep - budget;
  }
}
