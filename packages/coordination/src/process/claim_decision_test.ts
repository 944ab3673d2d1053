import assert from "node:assert/strict";
import { test } from "node:test";
import { decideRequest, expiredSegments } from "./claim_decision.ts";
import type { ClaimRequest, SettleRequest } from "./claim_decision.ts";
import type { ClaimRecord } from "./claim_record.ts";

function record(fields: Partial<ClaimRecord> = {}): ClaimRecord {
  const identity = { key: "k", digest: "d", id: "first", by: "a" };
  return { ...identity, state: "running", ...fields };
}

function claim(fields: Partial<ClaimRequest> = {}): ClaimRequest {
  const identity = { key: "k", digest: "d", id: "second", by: "b" };
  return { _tag: "Claim", ...identity, ...fields };
}

function withdrawal(id: string): SettleRequest {
  return { ...claim({ id }), _tag: "Settle", state: "withdrawn" };
}

const ANSWER = { status: 200, headers: [], body: new Uint8Array([1]) };

test("a claim on a free key is decided by a write", () => {
  assert.equal(decideRequest(undefined, claim())._tag, "Append");
});

test("a key whose claim was withdrawn can be claimed with another body", () => {
  const found = record({ state: "withdrawn" });
  assert.equal(decideRequest(found, claim({ digest: "other" }))._tag, "Append");
});

test("a record with the request's own id confirms the claim", () => {
  assert.deepEqual(decideRequest(record(), claim({ id: "first" })), {
    _tag: "Claimed",
  });
});

test("a claim that arrives after its own withdrawal is not made", () => {
  // The claimant times out and withdraws while its claim is queued at a slow
  // member. Making the claim afterwards would leave the key taken although no
  // request will be sent for it.
  const found = record({ state: "withdrawn" });
  const decision = decideRequest(found, claim({ id: "first" }));
  assert.equal(decision._tag, "Withdrawn");
});

test("a different body under the same key is a mismatch in each state", () => {
  for (const state of ["running", "answered", "may-have-run"] as const) {
    const decision = decideRequest(
      record({ state }),
      claim({ digest: "other" }),
    );
    assert.equal(decision._tag, "Mismatch");
  }
});

test("a kept answer is returned to a later attempt", () => {
  const found = record({ state: "answered", answer: ANSWER });
  assert.deepEqual(decideRequest(found, claim()), {
    _tag: "Answered",
    answer: ANSWER,
  });
});

test("a withdrawal frees only its own claim", () => {
  assert.equal(decideRequest(record(), withdrawal("first"))._tag, "Append");
  assert.equal(decideRequest(record(), withdrawal("second"))._tag, "Settled");
});

test("an answered claim can't be withdrawn", () => {
  const found = record({ state: "answered" });
  assert.equal(decideRequest(found, withdrawal("first"))._tag, "Settled");
});

test("segments are dropped oldest first, once known for the retention time", () => {
  const knownSince = new Map([[1, 0], [2, 50], [3, 10]]);
  const options = { knownSince, retentionMs: 100 };
  assert.deepEqual(expiredSegments([1, 2, 3], { ...options, now: 99 }), []);
  assert.deepEqual(expiredSegments([1, 2, 3], { ...options, now: 120 }), [1]);
  assert.deepEqual(expiredSegments([1, 2, 3], { ...options, now: 150 }), [
    1,
    2,
    3,
  ]);
  assert.deepEqual(expiredSegments([9, 1], { ...options, now: 500 }), []);
});
