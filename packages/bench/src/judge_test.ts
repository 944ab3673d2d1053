import assert from "node:assert/strict";
import { test } from "node:test";
import { judge, type LedgerRun } from "./judge.ts";
import type { CallerRecord } from "./load_record.ts";

const TARGETS = [
  { class: "quote", firstTokenMs: 100, betweenTokensMs: 20 },
  { class: "job-card", wholeAnswerMs: 200 },
];
const OPTIONS = { targets: TARGETS, seconds: 10, until: 5_000 };

function recordOf(changes: Partial<CallerRecord> = {}): CallerRecord {
  return {
    index: 0,
    requestId: "r1",
    daemon: "127.0.0.1:1",
    phase: "calm",
    class: "quote",
    workspace: "w",
    repeatable: true,
    idempotencyKey: undefined,
    dueAt: 1_000,
    sentAt: 1_000,
    headAt: 1_040,
    firstTokenAt: 1_050,
    endedAt: 1_250,
    tokens: 20,
    longestGapMs: 15,
    meanGapMs: 10,
    status: 200,
    end: "complete",
    outcome: undefined,
    code: undefined,
    foreign: false,
    ...changes,
  };
}

function runOf(changes: Partial<LedgerRun> = {}): LedgerRun {
  return {
    requestId: "r1",
    attemptId: "r1-1",
    idempotencyKey: null,
    class: "quote",
    startedAt: 1_010,
    endedAt: 1_240,
    promptTokens: 10,
    tokens: 20,
    cancelled: false,
    refused: false,
    ...changes,
  };
}

function violations(
  record: Partial<CallerRecord>,
  runs: readonly LedgerRun[],
): readonly string[] {
  return judge([recordOf(record)], runs, OPTIONS).breaches
    .map((breach) => breach.violation);
}

test("a whole answer within target counts for attainment and goodput", () => {
  const judgement = judge([recordOf()], [runOf()], OPTIONS);
  assert.deepEqual(judgement.breaches, []);
  assert.equal(judgement.classes[0]?.attainment, 1);
  assert.equal(judgement.goodput, 2);
  assert.equal(judgement.wastedWork, 0);
});

test("an answer past its class's target counts for neither", () => {
  for (
    const late of [
      { firstTokenAt: 1_101 },
      { meanGapMs: 21 },
      { end: "broken" },
      { end: "refused" },
    ] as const
  ) {
    const judgement = judge([recordOf(late)], [runOf()], OPTIONS);
    assert.equal(judgement.classes[0]?.attainment, 0);
    assert.equal(judgement.goodput, 0);
  }
});

test("a sender that is late does not make an answer look early", () => {
  const late = recordOf({ dueAt: 900, sentAt: 1_000 });
  const judgement = judge([late], [runOf()], OPTIONS);
  assert.equal(judgement.classes[0]?.attainment, 0);
});

test("a run told as not run is found", () => {
  const refused = { end: "refused", outcome: "not-run" } as const;
  assert.deepEqual(violations(refused, [runOf()]), ["false-not-run"]);
  assert.deepEqual(violations(refused, [runOf({ refused: true })]), []);
  assert.deepEqual(violations(refused, []), []);
});

test("a second run of what is not repeatable is found by request", () => {
  const card = { class: "job-card", repeatable: false };
  const twice = [runOf(), runOf({ attemptId: "r1-2", startedAt: 1_300 })];
  assert.deepEqual(violations(card, twice), ["double-run"]);
  assert.deepEqual(violations({ ...card, repeatable: true }, twice), []);
});

test("a second run under one idempotency key is found across requests", () => {
  const card = { class: "job-card", repeatable: false, idempotencyKey: "k" };
  const records = [
    recordOf(card),
    recordOf({ ...card, index: 1, requestId: "r2" }),
  ];
  const runs = [
    runOf({ idempotencyKey: "k" }),
    runOf({ requestId: "r2", attemptId: "r2-1", idempotencyKey: "k" }),
  ];
  const judgement = judge(records, runs, OPTIONS);
  assert.deepEqual(judgement.breaches.map((breach) => breach.violation), [
    "double-run",
  ]);
});

test("truncated, foreign and unknown answers are found", () => {
  assert.deepEqual(violations({ end: "truncated" }, [runOf()]), ["truncated"]);
  assert.deepEqual(violations({ foreign: true }, [runOf()]), [
    "foreign-answer",
  ]);
  assert.deepEqual(violations({}, []), ["unknown-run"]);
});

test("time of cut off and doubled runs is wasted, of refused ones is not", () => {
  const runs = [
    runOf({ attemptId: "r1-0", startedAt: 1_000, endedAt: 1_100 }),
    runOf({ attemptId: "r1-1", startedAt: 1_100, endedAt: 1_400 }),
    runOf({ requestId: "r9", refused: true }),
  ];
  const judgement = judge([recordOf()], runs, OPTIONS);
  assert.equal(judgement.wastedWork, 0.25);
});

test("a run that has not ended counts until the end of the judged time", () => {
  const open = runOf({ requestId: "r8", startedAt: 4_000, endedAt: null });
  const judgement = judge([recordOf()], [
    runOf({ startedAt: 1_000, endedAt: 2_000 }),
    open,
  ], OPTIONS);
  assert.equal(judgement.wastedWork, 0.5);
});
