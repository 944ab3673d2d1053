import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { RunnerPauses } from "./runner_pauses.ts";

/** Pauses with one that a runner asked for at 0 ms, for a second. */
function onePause(): RunnerPauses {
  const pauses = new RunnerPauses(SILENT_LOG);
  pauses.recordAsked("r", 1_000, 0);
  return pauses;
}

// Guards against late refusals of earlier requests, which ask for less.
test("a shorter pause does not end a longer one", () => {
  const pauses = onePause();
  pauses.recordAsked("r", 100, 500);
  assert.ok(!pauses.allowsRequest("r", 999));
  assert.ok(pauses.allowsRequest("r", 1_000));
  assert.ok(pauses.allowsRequest("other", 0));
});

// Guards against all waiting requests being refused when a pause ends.
test("after a pause one request goes first, and the others follow", () => {
  const pauses = onePause();
  pauses.recordRequest("r", 1_000);
  assert.ok(!pauses.allowsRequest("r", 1_050));
  assert.ok(pauses.allowsRequest("r", 1_100));
  pauses.recordRequest("r", 1_100);
  assert.ok(pauses.allowsRequest("r", 1_101));
  assert.ok(!pauses.hasPauses);
});

test("a refusal of the first request begins a new pause", () => {
  const pauses = onePause();
  pauses.recordRequest("r", 1_000);
  pauses.recordAsked("r", 1_000, 1_005);
  assert.ok(!pauses.allowsRequest("r", 2_000));
  assert.ok(pauses.allowsRequest("r", 2_005));
});

// Guards against an entry that lapses during an outage and comes back.
test("a pause of a runner that is not listed is kept until it ends", () => {
  const pauses = onePause();
  pauses.retain(new Set(), 500);
  assert.ok(pauses.isRestricted("r"));
  pauses.retain(new Set(), 1_000);
  assert.ok(!pauses.isRestricted("r"));
});
