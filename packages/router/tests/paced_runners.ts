/**
 * Simulated runners of different speed, which a pace observes without network.
 *
 * @module
 */
import type { ObservedPace } from "../src/process/observed_pace.ts";

const CHUNK_TOKENS = 2_048;
const FIRST_EVENT_MS = 20;
const STEP_MS = 5;
const EVENT_TOKENS = 4;
const PROMPTS = [3_720, 1_110, 9_000] as const;
const REQUESTS = 8;
/** Time between the prompts that one daemon sees, over all runners, in ms. */
const PROMPT_INTERVAL_MS = 200;

/** Engines, and the factor by which each takes longer than usual. */
export class PacedRunners {
  readonly #pace: ObservedPace;
  readonly #msPerToken: number;
  readonly #factors: Readonly<Record<string, number>>;
  #prompts = 0;

  constructor(pace: ObservedPace, options: {
    /** Prompt tokens per ms of an engine with factor 1. */
    readonly speed: number;
    readonly factors: Readonly<Record<string, number>>;
  }) {
    this.#pace = pace;
    this.#msPerToken = 1 / options.speed;
    this.#factors = options.factors;
  }

  /** Observes what one daemon of a large fleet sees in a span of time. */
  run(from: number, to: number): void {
    const runners = Object.keys(this.#factors);
    for (let now = from; now < to; now += PROMPT_INTERVAL_MS) {
      this.#prompts += 1;
      const runner = runners[this.#prompts % runners.length]!;
      const tokens = PROMPTS[this.#prompts % PROMPTS.length]!;
      this.#pace.recordFirstEvent(runner, {
        ms: this.firstEventMs(runner, tokens),
        tokens,
        now,
      });
      this.#streamed(runner, now);
    }
  }

  /** Time to the first event of a prompt on an idle runner, in ms. */
  firstEventMs(runner: string, tokens: number): number {
    return this.#factors[runner]! *
      (FIRST_EVENT_MS + this.#msPerToken * tokens);
  }

  /** Ten events of a stream, one of them with a chunk in each step. */
  #streamed(runner: string, start: number): void {
    const factor = this.#factors[runner]!;
    for (let event = 0; event < 10; event += 1) {
      const chunk = event === 0 ? CHUNK_TOKENS : 0;
      const stepMs = factor * (STEP_MS + this.#msPerToken * chunk);
      this.#pace.recordGap(runner, {
        ms: EVENT_TOKENS * stepMs,
        tokens: EVENT_TOKENS,
        requests: REQUESTS,
        unreadBefore: 10 * chunk,
        unreadAfter: 8 * chunk,
        now: start + 20 * event,
      });
    }
  }
}
