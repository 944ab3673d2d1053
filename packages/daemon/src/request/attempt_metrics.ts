/**
 * Token counts and timings of an attempt.
 *
 * @module
 */
import type { Call } from "./call.ts";
import { StreamProgress } from "./stream_relay.ts";
import { type Usage, usageOfEvent } from "./usage.ts";

/** Counts and times of one attempt; times in monotonic milliseconds. */
export class AttemptMetrics {
  readonly progress = new StreamProgress();
  sentAt: number | undefined;
  /** Usage that the engine reported in a non-streamed response. */
  usage: Usage | undefined;
  readonly #call: Call;

  constructor(call: Call) {
    this.#call = call;
  }

  /** Output tokens sent to the caller. */
  get tokens(): number {
    return this.usage?.outputTokens ?? this.progress.tokens;
  }

  /** Prompt tokens: the engine's count if it reported one, else the estimate. */
  get promptTokens(): number {
    const usage = this.usage ?? usageOfEvent(this.progress.lastEvent);
    return usage.promptTokens ?? this.#call.promptTokens;
  }

  /** Milliseconds from the send to the first token. */
  get firstTokenMs(): number | undefined {
    const first = this.progress.firstAt;
    if (first === undefined || this.sentAt === undefined) return undefined;
    return first - this.sentAt;
  }

  /** Mean milliseconds between tokens. */
  get betweenTokensMs(): number | undefined {
    const { firstAt, lastAt, tokens } = this.progress;
    if (firstAt === undefined || lastAt === undefined) return undefined;
    if (tokens < 2) return undefined;
    return (lastAt - firstAt) / (tokens - 1);
  }
}
