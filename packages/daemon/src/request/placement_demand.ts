/**
 * Counts calls per model, as demand for placement.
 *
 * @module
 */
import * as Effect from "effect/Effect";
import type { LocalDemand } from "../process/placement/placement_demand.ts";
import type { Call, CallResult, CallRunner, Reply } from "./call.ts";

/** Counts each call as demand for its model, from its arrival to its end. */
export class CountedCallRunner implements CallRunner {
  readonly #inner: CallRunner;
  readonly #counter: LocalDemand;

  constructor(inner: CallRunner, counter: LocalDemand) {
    this.#inner = inner;
    this.#counter = counter;
  }

  run(call: Call, reply: Reply): Effect.Effect<CallResult> {
    const { model } = call;
    if (model === undefined) return this.#inner.run(call, reply);
    return Effect.acquireUseRelease(
      Effect.sync(() => this.#counter.requestStarted(model)),
      () => this.#inner.run(call, reply),
      (requestEnded) => Effect.sync(requestEnded),
    );
  }
}
