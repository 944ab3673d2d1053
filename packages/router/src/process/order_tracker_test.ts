import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { OrderTracker } from "./order_tracker.ts";
import type { CallEnd } from "./platform_api.ts";
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

/** A desk for what is wanted, and the orders of which there were none left. */
function deskFor(wanted: readonly RunnerOrder[]) {
  const noneLeft: RunnerOrder[] = [];
  const demand: ScalingPolicy = {
    desiredOrders: () => wanted,
    recordNoneLeft: (each) => void noneLeft.push(each),
  };
  return { desk: new OrderTracker(demand, SILENT_LOG), noneLeft };
}

const ACCEPTED: CallEnd = { kind: "accepted" };
const FAILED: CallEnd = { kind: "failed", reason: "No answer in time" };

test("only what differs from how it stands is decided", () => {
  const other = order({ failureDomain: "b" });
  const { desk } = deskFor([order({ runners: 7 }), other]);
  const decided = desk.reconcile([order(), other], 0);
  assert.deepEqual(decided, [other, order({ runners: 7 })]);
  assert.equal(desk.reconcile(decided!, 0), undefined);
});

test("an order that was accepted is not sent again", () => {
  const { desk } = deskFor([]);
  assert.deepEqual(desk.due([order()], 0), [order()]);
  desk.recordResult(order(), ACCEPTED, { fencing: 1, now: 0 });
  assert.deepEqual(desk.due([order()], 60_000), []);
  const more = order({ runners: 6 });
  assert.deepEqual(desk.due([more], 60_000), [more]);
});

test("an order without an answer is sent again, less and less often", () => {
  const { desk } = deskFor([]);
  const sentAt: number[] = [];
  for (let now = 0; now < 20_000; now += 100) {
    for (const each of desk.due([order()], now)) {
      sentAt.push(now);
      desk.recordResult(each, FAILED, { fencing: 1, now });
    }
  }
  assert.deepEqual(sentAt, [0, 400, 1_200, 2_800, 6_000, 12_400, 18_800]);
});

test("a new leader sends what stands, as it may not have arrived", () => {
  const { desk } = deskFor([]);
  desk.recordResult(order(), ACCEPTED, { fencing: 1, now: 0 });
  desk.reset();
  assert.deepEqual(desk.due([order()], 100), [order()]);
});

test("that there are none left is told to who decides", () => {
  const { desk, noneLeft } = deskFor([]);
  desk.recordResult(order(), { kind: "none-left" }, { fencing: 1, now: 0 });
  assert.deepEqual(noneLeft, [order()]);
});

test("fewer runners of one kind are ordered before more of the other", () => {
  const { desk } = deskFor([]);
  const fewer = order({ preemptible: false, runners: 1 });
  assert.deepEqual(desk.due([order(), fewer], 0), [fewer, order()]);
});
