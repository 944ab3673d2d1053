/**
 * Tracks orders, the requests to the platform for a number of runners, and
 * schedules their retries.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import type { CallOutcome } from "./platform_api.ts";
import { poolKey } from "./runner_order.ts";
import type { RunnerOrder, ScalingPolicy } from "./runner_order.ts";

/**
 * Backoff in ms after the first failed attempt; doubled after each further one, up
 * to {@linkcode MAX_RETRY_MS}.
 */
const INITIAL_RETRY_MS = 400;
const MAX_RETRY_MS = 6_400;

interface SentOrder {
  readonly order: RunnerOrder;
  readonly accepted: boolean;
  readonly retryMs: number;
  /** Earliest time of a retry, in ms of the monotonic clock. */
  readonly notBefore: number;
}

/**
 * Tracks which orders of one leader's term have been accepted by the platform.
 */
export class OrderTracker {
  readonly #policy: ScalingPolicy | undefined;
  readonly #log: EventLog;
  /** The last order that was sent for each pool. */
  readonly #sent = new Map<string, SentOrder>();

  constructor(policy: ScalingPolicy | undefined, log: EventLog) {
    this.#policy = policy;
    this.#log = log;
  }

  /**
   * Starts a new term. All orders become due again, because it is unknown whether
   * those of an earlier leader arrived.
   */
  reset(): void {
    this.#sent.clear();
  }

  /**
   * Returns the orders with those replaced or added whose number of runners differs
   * from the policy's; undefined if none differs.
   */
  reconcile(
    orders: readonly RunnerOrder[],
    now: number,
  ): readonly RunnerOrder[] | undefined {
    const desired = this.#policy?.desiredOrders(orders, now) ?? [];
    const ordered = new Map(orders.map((order) => [poolKey(order), order]));
    const changed = desired.filter((order) =>
      ordered.get(poolKey(order))?.runners !== order.runners
    );
    if (changed.length === 0) return undefined;
    const pools = new Set(changed.map(poolKey));
    const kept = orders.filter((order) => !pools.has(poolKey(order)));
    return [...kept, ...changed];
  }

  /** Orders that have to be sent now: changed ones and due retries. */
  due(orders: readonly RunnerOrder[], now: number): readonly RunnerOrder[] {
    const due = orders.filter((order) => {
      const sentOrder = this.#sentOrderOf(order);
      if (sentOrder?.order.runners !== order.runners) return true;
      return !sentOrder.accepted && now >= sentOrder.notBefore;
    });
    // The bounds of a failure domain apply to preemptible and regular runners
    // together: orders for preemptible runners are sent last, as they may need
    // capacity that the other orders free.
    const isPreemptibleDemand = ({ preemptible, runners }: RunnerOrder) =>
      preemptible && runners > 0;
    return [
      ...due.filter((order) => !isPreemptibleDemand(order)),
      ...due.filter(isPreemptibleDemand),
    ];
  }

  /** Records the platform's response to an order. */
  recordResult(order: RunnerOrder, end: CallOutcome, call: {
    /** Fencing token that the order was sent with. */
    readonly fencing: number;
    /** Time at which the call had ended, in ms of the monotonic clock. */
    readonly now: number;
  }): void {
    const previous = this.#sentOrderOf(order);
    const isRetry = previous?.order.runners === order.runners;
    const retryMs = isRetry
      ? Math.min(MAX_RETRY_MS, 2 * previous.retryMs)
      : INITIAL_RETRY_MS;
    const accepted = end.kind === "accepted";
    const notBefore = call.now + retryMs;
    const sent = { order, accepted, retryMs, notBefore };
    this.#sent.set(poolKey(order), sent);
    if (end.kind === "none-left") this.#policy?.recordDepleted(order, call.now);
    this.#log.event("runners_ordered", {
      service: order.service,
      failure_domain: order.failureDomain,
      preemptible: order.preemptible,
      runners: order.runners,
      fencing: call.fencing,
      end: end.kind,
      reason: end.kind === "failed" ? end.reason : undefined,
    });
  }

  #sentOrderOf(order: RunnerOrder): SentOrder | undefined {
    return this.#sent.get(poolKey(order));
  }
}
