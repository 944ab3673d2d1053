/**
 * A scheduler that grants at once, or when it is told.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { Runner } from "../src/process/runner.ts";
import type { Ask, Grant, Refusal, Settlement } from "../src/request/ask.ts";

/** Grants the first runner not excluded; records asks and settlements. */
export class FixtureScheduler {
  readonly asks: Ask[] = [];
  readonly settlements: Settlement[] = [];
  grantMs = 60_000;
  readonly #runners: readonly Runner[];
  #held = false;
  #asked: () => void = () => {};
  #wake: () => void = () => {};

  constructor(runners: readonly Runner[]) {
    this.#runners = runners;
  }

  /**
   * Lets the next ask wait until `letGo`.
   *
   * @returns a promise that ends when the ask has come.
   */
  holdNext(): Promise<void> {
    this.#held = true;
    return new Promise((asked) => {
      this.#asked = asked;
    });
  }

  /** Grants the ask that waits. */
  letGo(): void {
    this.#wake();
  }

  acquire(ask: Ask): Effect.Effect<Grant, Refusal> {
    if (!this.#held) return this.#grant(ask);
    this.#held = false;
    return Effect.andThen(
      Effect.callback<void>((resume) => {
        this.#wake = () => resume(Effect.void);
        this.#asked();
      }),
      this.#grant(ask),
    );
  }

  #grant(ask: Ask): Effect.Effect<Grant, Refusal> {
    return Effect.suspend(() => this.#grantNow(ask));
  }

  #grantNow(ask: Ask): Effect.Effect<Grant, Refusal> {
    this.asks.push(ask);
    const runner = this.#runners.find((each) =>
      !ask.excluded.includes(each.name)
    );
    if (runner === undefined) {
      return Effect.fail({
        _tag: "Refusal",
        code: "no_runner",
        message: "No runner is left",
        retryAfterMs: 500,
      });
    }
    let held = true;
    return Effect.succeed({
      askId: ask.askId,
      runner,
      expiresAt: Date.now() + this.grantMs,
      release: (settlement) => {
        if (held) this.settlements.push(settlement);
        held = false;
      },
    });
  }
}
