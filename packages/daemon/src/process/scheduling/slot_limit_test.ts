import assert from "node:assert/strict";
import { test } from "node:test";
import { SlotLimit } from "./slot_limit.ts";

const BUSY = { saturated: true } as const;

function observeAll(limit: SlotLimit, ratios: readonly number[]): void {
  for (const [index, ratio] of ratios.entries()) {
    limit.observe({ between: ratio }, { now: index * 1_000, ...BUSY });
  }
}

test("gives back slots when latency passes its target", () => {
  const limit = new SlotLimit(16);
  observeAll(limit, [1.5, 1.5, 1.5]);
  assert.equal(limit.slots, 9);
});

test("takes slots away once for one congested moment", () => {
  const limit = new SlotLimit(16);
  for (let i = 0; i < 20; i++) {
    limit.observe({ between: 2 }, { now: 0, ...BUSY });
  }
  assert.equal(limit.slots, 13);
});

test("grows only while all slots are in use", () => {
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

test("loses at most half of its slots to a wrong report", () => {
  // A runner reports one slot by mistake. Were it believed, the runner would
  // stand idle while requests wait.
  const limit = new SlotLimit(16);
  limit.setCapacity(1);
  assert.equal(limit.slots, 8);
});

test("keeps the slots that a runner runs at once when first tokens are late", () => {
  // A burst of long prompts delays first tokens whatever the number of slots.
  // Were slots taken away for it, the runner would stand half idle in a burst.
  const limit = new SlotLimit(16);
  for (let now = 0; now < 20_000; now += 1_000) {
    limit.observe({ first: 3 }, { now, ...BUSY });
  }
  assert.equal(limit.slots, 16);
});
