/**
 * Which orders for runners are to be sent, and when again.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import type { CallEnd } from "./platform_api.ts";
import { isSamePool } from "./runner_order.ts";
import type { RunnerOrder, ScalingPolicy } from "./runner_order.ts";

/** Milliseconds until a failed order is sent again; doubled up to the longest. */
const FIRST_RETRY_MS = 400;
const LONGEST_RETRY_MS = 6_400;

interface Sending {
  readonly order: RunnerOrder;
  readonly accepted: boolean;
  readonly retryMs: number;
  /** Steady ms. */
  readonly notBefore: number;
}

/** Keeps what became of the orders of one term. */
export class OrderTracker {
  readonly #demand: ScalingPolicy | undefined;
  readonly #log: EventLog;
  #sent: readonly Sending[] = [];

  constructor(demand: ScalingPolicy | undefined, log: EventLog) {
    this.#demand = demand;
    this.#log = log;
  }

  /** A new term: whether an earlier leader's orders arrived is not known. */
  reset(): void {
    this.#sent = [];
  }

  /** The orders as they should stand, if that differs from how they stand. */
  reconcile(
    orders: readonly RunnerOrder[],
    now: number,
  ): readonly RunnerOrder[] | undefined {
    const wanted = this.#demand?.desiredOrders(orders, now) ?? [];
    const changed = wanted.filter((each) =>
      runnersOf(orders, each) !== each.runners
    );
    if (changed.length === 0) return undefined;
    const kept = orders.filter((each) =>
      !changed.some((other) => isSamePool(each, other))
    );
    return [...kept, ...changed];
  }

  /** Orders that have to be sent now. */
  due(orders: readonly RunnerOrder[], now: number): readonly RunnerOrder[] {
    const due = orders.filter((order) => {
      const sending = this.#sendingOf(order);
      if (sending?.order.runners !== order.runners) return true;
      return !sending.accepted && now >= sending.notBefore;
    });
    // Bounds hold for both kinds together: the fewer ones make room for others.
    const isMore = ({ preemptible, runners }: RunnerOrder) =>
      preemptible && runners > 0;
    return [
      ...due.filter((each) => !isMore(each)),
      ...due.filter(isMore),
    ];
  }

  /** An order has been sent. */
  recordResult(order: RunnerOrder, end: CallEnd, sent: {
    readonly fencing: number;
    readonly now: number;
  }): void {
    const before = this.#sendingOf(order);
    const again = before?.order.runners === order.runners;
    const retryMs = again
      ? Math.min(LONGEST_RETRY_MS, 2 * before.retryMs)
      : FIRST_RETRY_MS;
    const accepted = end.kind === "accepted";
    const notBefore = sent.now + retryMs;
    this.#sent = [
      ...this.#sent.filter((each) => !isSamePool(each.order, order)),
      { order, accepted, retryMs, notBefore },
    ];
    if (end.kind === "none-left") this.#demand?.recordNoneLeft(order, sent.now);
    this.#log.event("runners_ordered", {
      service: order.service,
      failure_domain: order.failureDomain,
      preemptible: order.preemptible,
      runners: order.runners,
      fencing: sent.fencing,
      end: end.kind,
      reason: end.kind === "failed" ? end.reason : undefined,
    });
  }

  #sendingOf(order: RunnerOrder): Sending | undefined {
    return this.#sent.find((each) => isSamePool(each.order, order));
  }
}

function runnersOf(
  orders: readonly RunnerOrder[],
  order: RunnerOrder,
): number | undefined {
  return orders.find((each) => isSamePool(each, order))?.runners;
}
