/**
 * Orders to engines and what came of them.
 *
 * @module
 */
import type { Tenure } from "@umbermast/coordination";
import type * as Effect from "effect/Effect";
import type { Runner } from "../runner.ts";

/** What an engine is to hold. Idempotent: it names a state, not a step. */
export interface EngineOrder {
  readonly order: "load" | "unload";
  readonly model: string;
}

/** Lets one holder at a time give orders for a service. */
export interface OrderLease {
  /**
   * Waits for the lease and runs the effect while it is held; interrupts the
   * effect when the lease is lost, and gives the lease up when it ends.
   */
  hold(effect: (tenure: Tenure) => Effect.Effect<void>): Effect.Effect<void>;
}

/** What came of an order. */
export type OrderOutcome =
  /** The engine took it. */
  | { readonly _tag: "Taken" }
  /** The engine refused it, such as for want of memory. */
  | { readonly _tag: "Refused"; readonly status: number }
  /** The engine has seen a higher fencing number: there is a newer holder. */
  | { readonly _tag: "Stale"; readonly fencing: number }
  /** Nothing was sent: too little of the tenure is left, or no connection. */
  | { readonly _tag: "NotSent"; readonly reason: string }
  /** It may have been taken. */
  | { readonly _tag: "Unknown"; readonly reason: string };

/** Gives orders to engines. */
export interface EngineOrders {
  send(
    runner: Runner,
    order: EngineOrder,
    options: { readonly tenure: Tenure },
  ): Effect.Effect<OrderOutcome>;
}

/** Time from the first byte of an order until its connection is cut off. */
export const ORDER_TIMEOUT_MS = 1_000;

/** How long bytes may travel once they have left, connections cut off included. */
export const NETWORK_MARGIN_MS = 500;

/** The longest time from the first byte of an order to its last effect. */
export const MAX_SEND_MS = ORDER_TIMEOUT_MS + NETWORK_MARGIN_MS;
