import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./retry_budget.ts";

const BOUNDS = { ratio: 0.2, extra: 80, windowMs: 10_000 };

function takeAll(budget: RetryBudget, now: number): number {
  let taken = 0;
  while (taken < 10_000 && budget.take(now)) taken += 1;
  return taken;
}

// Half of a service's runners fail every request, and each daemon exhausts its
// retry budget. All daemons together must stay within the ratio plus the extra
// retries, without any communication.
test("daemons that exhaust their budgets keep to the common bound", () => {
  const daemons = 8;
  const requests = 100;
  let retries = 0;
  for (let daemon = 0; daemon < daemons; daemon += 1) {
    const budget = new RetryBudget(BOUNDS, () => daemons);
    for (let i = 0; i < requests; i += 1) budget.recordRequest(1_000);
    retries += takeAll(budget, 1_000);
  }
  const bound = BOUNDS.ratio * daemons * requests + BOUNDS.extra;
  assert.ok(retries > 0);
  assert.ok(retries <= bound, `${retries} retries, ${bound} allowed`);
});

test("the budget is restored when the window has passed", () => {
  const budget = new RetryBudget(BOUNDS, () => 8);
  const first = takeAll(budget, 0);
  assert.equal(takeAll(budget, 5_000), 0);
  assert.equal(takeAll(budget, 11_000), first);
});
