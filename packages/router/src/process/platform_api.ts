/**
 * Calls of the leader to the platform.
 *
 * @module
 */
import type { RunnerOrder } from "./runner_order.ts";
import type { UsageReport } from "./leader_record.ts";

/** Identifies the term of the calling leader, so that stale calls are rejected. */
export interface Fence {
  /** Name of the leader. */
  readonly holder: string;
  /** Fencing token of its term. */
  readonly fencing: number;
}

/** Outcome of a call. */
export type CallOutcome =
  /** The platform has accepted the call. */
  | { readonly kind: "accepted" }
  /** The platform has no more runners at the moment. */
  | { readonly kind: "none-left" }
  /** The platform refused the call, or did not respond in time. */
  | { readonly kind: "failed"; readonly reason: string };

/** The platform's API. A call ends within its time-out. */
export interface PlatformApi {
  /** Reports the requests of one window. */
  reportUsage(report: UsageReport, call: PlatformCall): Promise<CallOutcome>;
  /** Orders a number of runners. */
  orderRunners(order: RunnerOrder, call: PlatformCall): Promise<CallOutcome>;
}

/** Parameters of every call. */
export interface PlatformCall {
  readonly fence: Fence;
  /** Time-out in ms, after which no part of the call may reach the platform. */
  readonly timeoutMs: number;
}
