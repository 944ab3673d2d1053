/**
 * Orders for runners that are placed with the platform.
 *
 * @module
 */

/** Runners of one kind, for one service in one failure domain. */
export interface RunnerPool {
  readonly service: string;
  readonly failureDomain: string;
  /** Whether its runners are cheaper and may be reclaimed by the platform. */
  readonly preemptible: boolean;
}

/** Number of runners that a pool should have. */
export interface RunnerOrder extends RunnerPool {
  readonly runners: number;
}

/** Decides how many runners to order. */
export interface ScalingPolicy {
  /**
   * Returns the orders for the current load; unchanged ones may be left out.
   */
  desiredOrders(
    orders: readonly RunnerOrder[],
    now: number,
  ): readonly RunnerOrder[];
  /** Records that the pool of an order is depleted: the platform has no runners left. */
  recordDepleted(order: RunnerOrder, now: number): void;
}

/** Returns a key that only the orders for the same pool have. */
export function poolKey(
  { service, failureDomain, preemptible }: RunnerPool,
): string {
  return JSON.stringify([service, failureDomain, preemptible]);
}
