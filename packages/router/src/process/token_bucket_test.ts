import assert from "node:assert/strict";
import { test } from "node:test";
import { TokenBucket } from "./token_bucket.ts";

test("tokens refill at the rate, up to the burst", () => {
  const allowance = new TokenBucket({ perSecond: 1_000, burst: 2_000 });
  assert.equal(allowance.available(0), 2_000);
  allowance.take(2_500);
  assert.equal(allowance.available(0), -500);
  assert.equal(allowance.available(1_000), 500);
  assert.equal(allowance.available(60_000), 2_000);
});
