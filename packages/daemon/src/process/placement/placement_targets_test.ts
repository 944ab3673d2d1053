import assert from "node:assert/strict";
import { test } from "node:test";
import { CopyTargets } from "./placement_targets.ts";

/** Targets of one model over rounds of requests, with 10 slots a runner. */
function targetsOver(
  rounds: readonly number[],
  options: { readonly copies: number; readonly hasQuorum?: boolean },
): readonly number[] {
  const targets = new CopyTargets();
  const { copies, hasQuorum = true } = options;
  return rounds.map((requests) =>
    targets.update({ model: "a", requests, copies, hasQuorum }, {
      slotsPerRunner: 10,
    })
  );
}

test("a new holder keeps the current copies if they match demand", () => {
  assert.deepEqual(targetsOver([14, 14], { copies: 2 }), [2, 2]);
});

test("a model without requests has one copy", () => {
  assert.deepEqual(targetsOver([0], { copies: 0 }), [1]);
});

test("a short burst does not raise the target, a lasting one does", () => {
  assert.deepEqual(targetsOver([7, 70, 7, 70, 70], { copies: 1 }), [
    1,
    1,
    1,
    1,
    10,
  ]);
});

test("targets fall by one after six rounds of lower demand", () => {
  const rounds = new Array(12).fill(0);
  assert.deepEqual(targetsOver(rounds, { copies: 3 }), [
    3,
    3,
    3,
    3,
    3,
    2,
    2,
    2,
    2,
    2,
    2,
    1,
  ]);
});

test("demand reported by too few daemons does not lower the target", () => {
  const rounds = new Array(12).fill(0);
  const targets = targetsOver(rounds, { copies: 3, hasQuorum: false });
  assert.deepEqual(new Set(targets), new Set([3]));
});
