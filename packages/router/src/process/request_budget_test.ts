import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestBudget } from "./request_budget.ts";

const KB = 1024;

// Guards against open requests that are bounded only by their connections.
test("requests are refused when those that are open take all room", () => {
  const budget = new RequestBudget(50 * KB);
  const first = budget.open(KB);
  assert.ok(first);
  assert.ok(budget.open(KB));
  assert.equal(budget.open(KB), undefined);
  first();
  first();
  assert.ok(budget.open(KB));
  assert.equal(budget.open(KB), undefined);
});

test("a request with a large head takes more room", () => {
  const budget = new RequestBudget(180 * KB);
  assert.ok(budget.open(14 * KB));
  assert.equal(budget.open(14 * KB), undefined);
  assert.ok(budget.open(KB));
});
