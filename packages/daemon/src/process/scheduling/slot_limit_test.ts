import assert from "node:assert/strict";
import { test } from "node:test";
import { SlotLimit } from "./slot_limit.ts";

const BUSY = { saturated: true } as const;

function observeAll(limit: SlotLimit, ratios: readonly number[]): void {
  for (const [index, ratio] of ratios.entries()) {
    limit.observe({ between: ratio }, { now: index * 1_000, ...BUSY });
  }
}

test("decreases when latency exceeds its target", () => {
  const limit = new SlotLimit(16);
  observeAll(limit, [1.5, 1.5, 1.5]);
  assert.equal(limit.slots, 9);
});

test("decreases once per congestion event", () => {
  const limit = new SlotLimit(16);
  for (let i = 0; i < 20; i++) {
    limit.observe({ between: 2 }, { now: 0, ...BUSY });
  }
  assert.equal(limit.slots, 13);
});

test("increases only while all slots are in use", () => {
  const limit = new SlotLimit(4);
  for (let i = 0; i < 50; i++) {
    limit.observe({ between: 0.1 }, { now: 0, saturated: false });
  }
  assert.equal(limit.slots, 4);
  for (let i = 0; i < 50; i++) {
    limit.observe({ between: 0.1 }, { now: 0, ...BUSY });
  }
  assert.ok(limit.slots > 8);
});

test("decreases by at most half on a wrong report", () => {
  // A runner reports one slot by mistake. Trusting the report would leave the
  // runner mostly idle while requests wait.
  const limit = new SlotLimit(16);
  limit.setCapacity(1);
  assert.equal(limit.slots, 8);
});

test("does not fall below a runner's capacity when first tokens are late", () => {
  // A burst of long prompts delays first tokens regardless of the number of
  // slots. Fewer slots would leave the runner half idle during the burst.
  const limit = new SlotLimit(16);
  for (let now = 0; now < 20_000; now += 1_000) {
    limit.observe({ first: 3 }, { now, ...BUSY });
  }
  assert.equal(limit.slots, 16);
});
