/**
 * The scheduler decides which waiting request is served next, and where.
 *
 * @module
 */
import type * as Effect from "effect/Effect";
import type { Ask, Grant, Refusal } from "./ask.ts";

/** Orders waiting requests and gives them slots at runners. */
export interface Scheduler {
  /**
   * Waits for a slot. Interrupting the effect withdraws the ask.
   *
   * @returns a grant, which the caller must release; fails with a refusal, at
   * once when it is known that no slot will come.
   */
  acquire(ask: Ask): Effect.Effect<Grant, Refusal>;
}
