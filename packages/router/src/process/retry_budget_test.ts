import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./retry_budget.ts";

const BOUNDS = { ratio: 0.2, extra: 80, windowMs: 10_000 };

function takeAll(budget: RetryBudget, now: number): number {
  let taken = 0;
  while (taken < 10_000 && budget.take(now)) taken += 1;
  return taken;
}

// Half of a service's runners fail every request. Each daemon repeats as long
// as it may; all together must stay below the ratio and the extra, though they
// cannot ask each other.
test("daemons that repeat all they may keep the common bound", () => {
  const daemons = 8;
  const requests = 100;
  let repeats = 0;
  for (let each = 0; each < daemons; each += 1) {
    const budget = new RetryBudget(BOUNDS, () => daemons);
    for (let i = 0; i < requests; i += 1) budget.recordRequest(1_000);
    repeats += takeAll(budget, 1_000);
  }
  const bound = BOUNDS.ratio * daemons * requests + BOUNDS.extra;
  assert.ok(repeats > 0);
  assert.ok(repeats <= bound, `${repeats} repeats, ${bound} allowed`);
});

test("what was spent comes back when the window has passed", () => {
  const budget = new RetryBudget(BOUNDS, () => 8);
  const first = takeAll(budget, 0);
  assert.equal(takeAll(budget, 5_000), 0);
  assert.equal(takeAll(budget, 11_000), first);
});
