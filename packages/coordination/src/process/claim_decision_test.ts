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

test("a free key is claimed by a write", () => {
  assert.equal(decideRequest(undefined, claim())._tag, "Append");
});

test("a key whose claim was withdrawn is free for another claim and body", () => {
  const found = record({ state: "withdrawn" });
  assert.equal(decideRequest(found, claim({ digest: "other" }))._tag, "Append");
});

test("one's own record proves the claim", () => {
  assert.deepEqual(decideRequest(record(), claim({ id: "first" })), {
    _tag: "Claimed",
  });
});

test("a claim that overtook its own withdrawal is not made", () => {
  // The claimant gave up and withdrew while its claim waited at a slow owner. If
  // the owner made it now, the key would stay taken for a run that never comes.
  const found = record({ state: "withdrawn" });
  const verdict = decideRequest(found, claim({ id: "first" }));
  assert.equal(verdict._tag, "Withdrawn");
});

test("another body under the same key is told apart in each state", () => {
  for (const state of ["running", "answered", "may-have-run"] as const) {
    const verdict = decideRequest(
      record({ state }),
      claim({ digest: "other" }),
    );
    assert.equal(verdict._tag, "Mismatch");
  }
});

test("a kept answer is given to a second try", () => {
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

test("segments are dropped from the oldest, once known for the retention", () => {
  const learnt = new Map([[1, 0], [2, 50], [3, 10]]);
  const known = { learnt, retentionMs: 100 };
  assert.deepEqual(expiredSegments([1, 2, 3], { ...known, now: 99 }), []);
  assert.deepEqual(expiredSegments([1, 2, 3], { ...known, now: 120 }), [1]);
  assert.deepEqual(expiredSegments([1, 2, 3], { ...known, now: 150 }), [
    1,
    2,
    3,
  ]);
  assert.deepEqual(expiredSegments([9, 1], { ...known, now: 500 }), []);
});
