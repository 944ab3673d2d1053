import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { OrderTracker } from "./order_tracker.ts";
import type { CallOutcome } from "./platform_api.ts";
import type { RunnerOrder, ScalingPolicy } from "./runner_order.ts";

function order(fields: Partial<RunnerOrder> = {}): RunnerOrder {
  return {
    service: "drafting",
    failureDomain: "a",
    preemptible: true,
    runners: 5,
    ...fields,
  };
}

/**
 * A tracker for desired orders, and the orders recorded as having none left.
 */
function trackerFor(desired: readonly RunnerOrder[]) {
  const noneLeft: RunnerOrder[] = [];
  const policy: ScalingPolicy = {
    desiredOrders: () => desired,
    recordDepleted: (refused) => void noneLeft.push(refused),
  };
  return { tracker: new OrderTracker(policy, SILENT_LOG), noneLeft };
}

const ACCEPTED: CallOutcome = { kind: "accepted" };
const FAILED: CallOutcome = { kind: "failed", reason: "No answer in time" };

test("only changed orders are replaced", () => {
  const other = order({ failureDomain: "b" });
  const { tracker } = trackerFor([order({ runners: 7 }), other]);
  const reconciled = tracker.reconcile([order(), other], 0);
  assert.deepEqual(reconciled, [other, order({ runners: 7 })]);
  assert.equal(tracker.reconcile(reconciled!, 0), undefined);
});

test("an accepted order is not sent again", () => {
  const { tracker } = trackerFor([]);
  assert.deepEqual(tracker.due([order()], 0), [order()]);
  tracker.recordResult(order(), ACCEPTED, { fencing: 1, now: 0 });
  assert.deepEqual(tracker.due([order()], 60_000), []);
  const more = order({ runners: 6 });
  assert.deepEqual(tracker.due([more], 60_000), [more]);
});

test("a failed order is retried with exponential backoff", () => {
  const { tracker } = trackerFor([]);
  const sentAt: number[] = [];
  for (let now = 0; now < 20_000; now += 100) {
    for (const due of tracker.due([order()], now)) {
      sentAt.push(now);
      tracker.recordResult(due, FAILED, { fencing: 1, now });
    }
  }
  assert.deepEqual(sentAt, [0, 400, 1_200, 2_800, 6_000, 12_400, 18_800]);
});

test("a new leader sends all orders again, as they may not have arrived", () => {
  const { tracker } = trackerFor([]);
  tracker.recordResult(order(), ACCEPTED, { fencing: 1, now: 0 });
  tracker.reset();
  assert.deepEqual(tracker.due([order()], 100), [order()]);
});

test("the scaling policy learns that none are left", () => {
  const { tracker, noneLeft } = trackerFor([]);
  tracker.recordResult(order(), { kind: "none-left" }, { fencing: 1, now: 0 });
  assert.deepEqual(noneLeft, [order()]);
});

test("fewer regular runners are ordered before more preemptible ones", () => {
  const { tracker } = trackerFor([]);
  const fewer = order({ preemptible: false, runners: 1 });
  assert.deepEqual(tracker.due([order(), fewer], 0), [fewer, order()]);
});
