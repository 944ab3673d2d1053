import assert from "node:assert/strict";
import { test } from "node:test";
import type { Runner } from "../process/runner.ts";
import { withheldTrials } from "./trial_runners.ts";

/** The runners that a request must not try first, `waitedMs` after one's pause. */
function withheld(waitedMs: number, request: {
  readonly runners?: readonly string[];
  readonly attemptsLeft: boolean;
  readonly withinBudget: boolean;
}): readonly string[] {
  const { runners = ["paused", "other"], ...repeatability } = request;
  const awaitingTrialMs = (id: string) =>
    id === "paused" ? waitedMs : undefined;
  return withheldTrials(
    runners.map((id) => ({ id }) as Runner),
    { awaitingTrialMs },
    { ...repeatability, now: 0 },
  );
}

// Guards against first requests after a pause that cannot be repeated, and against
// runners that get no request at all after a pause.
test("only a request that may be repeated goes first, unless nobody else does", () => {
  const single = { attemptsLeft: false, withinBudget: true };
  const noBudget = { attemptsLeft: true, withinBudget: false };
  assert.deepEqual(withheld(0, single), ["paused"]);
  assert.deepEqual(withheld(0, noBudget), ["paused"]);
  const repeatable = { attemptsLeft: true, withinBudget: true };
  assert.deepEqual(withheld(0, repeatable), []);
  assert.deepEqual(withheld(1_000, single), []);
  assert.deepEqual(withheld(1_000, noBudget), ["paused"]);
  assert.deepEqual(withheld(5_000, noBudget), []);
  assert.deepEqual(withheld(0, { ...single, runners: ["paused"] }), []);
});
