/**
 * How many runners are ordered from the platform.
 *
 * @module
 */

/** A place where runners of one kind are ordered. */
export interface RunnerPool {
  readonly service: string;
  readonly failureDomain: string;
  /** Whether its runners cost less and may be taken back. */
  readonly preemptible: boolean;
}

/** The number of runners that a place shall have. */
export interface RunnerOrder extends RunnerPool {
  readonly runners: number;
}

/** How many runners are wanted now. */
export interface ScalingPolicy {
  /** The orders that fit what is known; those that fit already may be left out. */
  desiredOrders(
    orders: readonly RunnerOrder[],
    now: number,
  ): readonly RunnerOrder[];
  /** There are no runners of an order to be had. */
  recordNoneLeft(order: RunnerOrder, now: number): void;
}

/** Whether both name the same place and kind. */
export function isSamePool(one: RunnerPool, other: RunnerPool): boolean {
  return one.service === other.service &&
    one.failureDomain === other.failureDomain &&
    one.preemptible === other.preemptible;
}
