/**
 * The interface of schedulers, which decide the order of waiting requests and
 * the runner that serves each of them.
 *
 * @module
 */
import type * as Effect from "effect/Effect";
import type { Ask, Grant, Refusal } from "./ask.ts";

/** Orders waiting requests and grants them slots at runners. */
export interface Scheduler {
  /**
   * Waits for a slot. Interrupting the effect withdraws the ask.
   *
   * @returns a grant, which the caller must release; fails with a refusal,
   * immediately if it is known that no slot will become free.
   */
  acquire(ask: Ask): Effect.Effect<Grant, Refusal>;
}
