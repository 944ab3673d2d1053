import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  counterOf,
  epochOf,
  revisionOfStaleList,
  storeRevision,
} from "./store_revision.ts";

const EPOCH = fc.integer({ min: 0, max: 2 ** 15 - 1 });
const COUNTER = fc.integer({ min: 0, max: 2 ** 38 - 1 });

test("a revision holds its epoch and counter, and rises with both", () => {
  fc.assert(fc.property(EPOCH, COUNTER, COUNTER, (epoch, one, other) => {
    const revision = storeRevision(epoch, one);
    assert.ok(Number.isSafeInteger(revision));
    assert.deepEqual([epochOf(revision), counterOf(revision)], [epoch, one]);
    assert.ok(one >= other || revision < storeRevision(epoch, other));
    if (epoch === 0) return;
    assert.ok(revision > storeRevision(epoch - 1, other));
  }));
});

test("an epoch or counter that is out of range is rejected by name", () => {
  assert.throws(() => storeRevision(2 ** 15, 0), /Store epoch 32768/);
  assert.throws(() => storeRevision(1.5, 0), /Store epoch 1.5/);
  assert.throws(() => storeRevision(1, -1), /Store revision -1/);
});

// Guards against a list from before a restore that hides those from after it.
test("a stale list is older than anything that is current", () => {
  const stale = revisionOfStaleList(storeRevision(2, 500));
  assert.ok(stale < storeRevision(2, 1));
  assert.ok(stale > storeRevision(1, 499));
  assert.equal(revisionOfStaleList(7), 7);
});
