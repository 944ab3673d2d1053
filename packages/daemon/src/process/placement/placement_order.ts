/**
 * Orders to engines and their outcomes.
 *
 * @module
 */
import type { Tenure } from "@umbermast/coordination";
import type * as Effect from "effect/Effect";
import type { Runner } from "../runner.ts";

/** An order to load or unload a model. Idempotent: it states the desired state. */
export interface EngineOrder {
  readonly order: "load" | "unload";
  readonly model: string;
}

/** Lease that lets one holder at a time send orders for a service. */
export interface OrderLease {
  /**
   * Waits for the lease and runs the effect while the lease is held. Interrupts
   * the effect if the lease is lost; releases the lease when the effect ends.
   */
  hold(effect: (tenure: Tenure) => Effect.Effect<void>): Effect.Effect<void>;
}

/** Outcome of an order. */
export type OrderOutcome =
  /** The engine accepted the order. */
  | { readonly _tag: "Taken" }
  /** The engine refused the order, for example for lack of memory. */
  | { readonly _tag: "Refused"; readonly status: number }
  /** The engine has seen a higher fencing token: there is a newer holder. */
  | { readonly _tag: "Stale"; readonly fencing: number }
  /** Nothing was sent: the remaining tenure is too short, or there is no connection. */
  | { readonly _tag: "NotSent"; readonly reason: string }
  /** The engine may have accepted the order. */
  | { readonly _tag: "Unknown"; readonly reason: string };

/** Sends orders to engines. */
export interface EngineOrders {
  send(
    runner: Runner,
    order: EngineOrder,
    options: { readonly tenure: Tenure },
  ): Effect.Effect<OrderOutcome>;
}

/** Time from the first byte of an order until its connection is reset. */
export const ORDER_TIMEOUT_MS = 1_000;

/** Maximum time that sent bytes are in transit, also after a connection reset. */
export const NETWORK_MARGIN_MS = 500;

/** Maximum time from the first byte of an order to its last effect. */
export const MAX_SEND_MS = ORDER_TIMEOUT_MS + NETWORK_MARGIN_MS;
