/**
 * Detection of pauses, in which this process did not run.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type * as Scope from "effect/Scope";
import { elapsedSince, SYSTEM_CLOCK, timestampOf } from "./clock.ts";
import type { Clock, Timestamp } from "./clock.ts";

const TICK_MS = 250;
const DEFAULT_THRESHOLD_MS = 2_000;

/** Settings of a {@linkcode PauseDetector}. */
export interface PauseDetectorOptions {
  readonly clock?: Clock;
  /** Shortest pause that is reported, in milliseconds. Default 2,000. */
  readonly thresholdMs?: number;
}

/**
 * Detects pauses of this process. A process that was stopped, or starved of CPU
 * time, resumes with state that may be stale. The timer that detects the pause
 * may fire only after other events, so code that is about to act on such state
 * calls {@linkcode PauseDetector.check} first.
 */
export class PauseDetector {
  readonly #clock: Clock;
  readonly #thresholdMs: number;
  readonly #listeners = new Set<(pausedMs: number) => void>();
  #lastTick: Timestamp;

  constructor(options: PauseDetectorOptions = {}) {
    this.#clock = options.clock ?? SYSTEM_CLOCK;
    this.#thresholdMs = options.thresholdMs ?? DEFAULT_THRESHOLD_MS;
    this.#lastTick = timestampOf(this.#clock);
  }

  /**
   * Calls the listener after a pause, with its length in milliseconds.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: (pausedMs: number) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Notifies the listeners if there was a pause since the last check. */
  check(): void {
    const pausedMs = elapsedSince(this.#lastTick, this.#clock);
    this.#lastTick = timestampOf(this.#clock);
    if (pausedMs < this.#thresholdMs) return;
    for (const listener of [...this.#listeners]) listener(pausedMs);
  }

  /** Checks at regular intervals until the scope closes. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const tick = Effect.sleep(TICK_MS).pipe(
      Effect.andThen(Effect.sync(() => this.check())),
      Effect.forever,
    );
    return Effect.suspend(() => {
      this.#lastTick = timestampOf(this.#clock);
      return Effect.asVoid(Effect.forkScoped(tick));
    });
  }
}
