import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./retry_budget.ts";

test("a budget starts full and can be exhausted", () => {
  const budget = new RetryBudget({ share: 0.5, burst: 2 });
  assert.deepEqual([budget.take(), budget.take(), budget.take()], [
    true,
    true,
    false,
  ]);
});

test("each success adds its share of a retry, up to the burst", () => {
  const budget = new RetryBudget({ share: 0.5, burst: 1 });
  assert.equal(budget.take(), true);
  budget.recordSuccess();
  assert.equal(budget.take(), false);
  budget.recordSuccess();
  assert.equal(budget.take(), true);
  for (let n = 0; n < 10; n++) budget.recordSuccess();
  assert.equal(budget.take(), true);
  assert.equal(budget.take(), false);
});
