import assert from "node:assert/strict";
import { test } from "node:test";
import { judgeEdits } from "./edit_judge.ts";
import type { EditRun, Sighting } from "./edit_record.ts";

function runOf(fields: Partial<EditRun> = {}): EditRun {
  return {
    edits: [{ editId: "e1", fate: "accepted", acceptedAt: 100, version: 2 }],
    sightings: [seen("a", 110, 2), seen("b", 90, 1), seen("b", 130, 2)],
    absences: [],
    daemons: ["a", "b"],
    history: ["first", "e1"],
    storeReads: 10,
    durationMs: 2_000,
    ...fields,
  };
}

function seen(daemon: string, at: number, version: number): Sighting {
  return { daemon, at, version };
}

test("an edit is in force when the slowest daemon has it", () => {
  const result = judgeEdits([runOf()]);
  assert.deepEqual(result.inForceMs, { p50: 30, p99: 30, max: 30 });
  assert.equal(result.storeReadsPerSecond, 5);
  assert.equal(result.lost + result.reverts + result.appliedTwice, 0);
});

test("a daemon that never has an edit in force is counted", () => {
  const sightings = [seen("a", 110, 2), seen("b", 130, 1)];
  assert.equal(judgeEdits([runOf({ sightings })]).neverInForce, 1);
});

test("a daemon that was down at the acceptance is not waited for", () => {
  const absences = [{ daemon: "b", from: 95, to: 900 }];
  const sightings = [seen("a", 110, 2), seen("b", 900, 2)];
  const result = judgeEdits([runOf({ absences, sightings })]);
  assert.equal(result.inForceMs.max, 10);
});

test("a lower version after a higher one is a revert, also over a restart", () => {
  const sightings = [
    seen("a", 1, 5),
    seen("a", 2, 0),
    seen("a", 3, 4),
    seen("a", 4, 5),
    seen("b", 4, 4),
  ];
  assert.equal(judgeEdits([runOf({ sightings })]).reverts, 1);
});

test("lost, doubled and falsely refused edits are counted", () => {
  const result = judgeEdits([runOf({
    edits: [
      { editId: "gone", fate: "accepted", acceptedAt: 1, version: 2 },
      { editId: "there", fate: "conflict" },
      { editId: "closed", fate: "not-accepted" },
    ],
    history: ["first", "there", "twice", "twice"],
  })]);
  assert.equal(result.lost, 1);
  assert.equal(result.falselyRefused, 1);
  assert.equal(result.appliedTwice, 1);
  assert.equal(result.conflicts, 1);
  assert.equal(result.notAccepted, 1);
});
