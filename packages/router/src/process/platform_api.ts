/**
 * Calls to the platform that one daemon makes for all.
 *
 * @module
 */
import type { RunnerOrder } from "./runner_order.ts";
import type { UsageReport } from "./leader_record.ts";

/** Who calls, and by which right. */
export interface Fence {
  /** Name of the daemon that leads. */
  readonly holder: string;
  /** Number of its term. */
  readonly fencing: number;
}

/** How a call ended. */
export type CallOutcome =
  /** The platform has taken it. */
  | { readonly kind: "accepted" }
  /** There are no runners to be had at the moment. */
  | { readonly kind: "none-left" }
  /** It was refused, or there was no answer. */
  | { readonly kind: "failed"; readonly reason: string };

/** The platform's API. A call ends within the time that it is given. */
export interface PlatformApi {
  /** Reports the requests of one window. */
  reportUsage(report: UsageReport, call: PlatformCall): Promise<CallOutcome>;
  /** Orders a number of runners. */
  orderRunners(order: RunnerOrder, call: PlatformCall): Promise<CallOutcome>;
}

/** What goes with each call. */
export interface PlatformCall {
  readonly fence: Fence;
  /** Milliseconds after which nothing of the call may arrive any more. */
  readonly timeoutMs: number;
}
