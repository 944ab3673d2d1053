/**
 * Counts requests by model on their way to the scheduler.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { DemandCounter } from "../process/placement/placement_demand.ts";
import type { Ask, Grant, Refusal } from "./ask.ts";
import type { Scheduler } from "./scheduler.ts";

/** A scheduler whose asks and grants are counted as demand for their model. */
export class CountedScheduler implements Scheduler {
  readonly #inner: Scheduler;
  readonly #counter: DemandCounter;

  constructor(inner: Scheduler, counter: DemandCounter) {
    this.#inner = inner;
    this.#counter = counter;
  }

  acquire(ask: Ask): Effect.Effect<Grant, Refusal> {
    const { model } = ask;
    if (model === undefined) return this.#inner.acquire(ask);
    return Effect.suspend(() => {
      const leave = this.#counter.enter(model);
      return this.#inner.acquire(ask).pipe(
        // Also when the caller leaves while it waits.
        Effect.onError(() => Effect.sync(leave)),
        Effect.map((grant): Grant => ({
          askId: grant.askId,
          runner: grant.runner,
          expiresAt: grant.expiresAt,
          release: (settlement) => {
            leave();
            grant.release(settlement);
          },
        })),
      );
    });
  }
}
