import assert from "node:assert/strict";
import { test } from "node:test";
import { judge } from "./judge.ts";
import type { CallerRecord } from "./load_record.ts";
import type { Arrival } from "./arrivals.ts";
import type { Answer, LedgerEntry } from "@umbermast/testing";

const TARGETS = [
  { class: "quote", firstTokenMs: 100, betweenTokensMs: 20 },
  { class: "job-card", wholeAnswerMs: 200 },
];
const OPTIONS = { targets: TARGETS, seconds: 10, until: 5_000 };

const ARRIVAL: Arrival = {
  index: 0,
  atMs: 0,
  phase: "calm",
  class: "quote",
  workspace: "w",
  service: "s",
  promptTokens: 10,
  outputTokens: 20,
  prefix: 0,
  streamed: true,
  repeatable: true,
};

const ANSWER: Answer = {
  outcome: "complete",
  status: 200,
  requestId: "r1",
  tokens: 21,
  firstTokenMs: 50,
  wholeMs: 250,
};

interface Changes {
  readonly arrival?: Partial<Arrival>;
  readonly answer?: Partial<Answer>;
  readonly idempotencyKey?: string;
  readonly dueAt?: number;
}

function recordOf(changes: Changes = {}): CallerRecord {
  return {
    arrival: { ...ARRIVAL, ...changes.arrival },
    daemon: "http://127.0.0.1:1",
    idempotencyKey: changes.idempotencyKey,
    dueAt: changes.dueAt ?? 1_000,
    sentAt: 1_000,
    answer: { ...ANSWER, ...changes.answer },
  };
}

function runOf(changes: Partial<LedgerEntry> = {}): LedgerEntry {
  return {
    requestId: "r1",
    attemptId: "r1-1",
    idempotencyKey: null,
    workspace: "w",
    class: "quote",
    model: "m",
    startedAt: 1_010,
    endedAt: 1_240,
    promptTokens: 10,
    tokens: 20,
    cancelled: false,
    refused: false,
    end: "complete",
    resumes: 0,
    ...changes,
  };
}

function violations(
  changes: Changes,
  runs: readonly LedgerEntry[],
): readonly string[] {
  return judge([recordOf(changes)], runs, OPTIONS).breaches
    .map((breach) => breach.violation);
}

test("a whole answer within target counts for attainment and goodput", () => {
  const judgement = judge([recordOf()], [runOf()], OPTIONS);
  assert.deepEqual(judgement.breaches, []);
  assert.equal(judgement.classes[0]?.attainment, 1);
  assert.equal(judgement.goodput, 2.1);
  assert.equal(judgement.wastedWork, 0);
});

test("an answer past its class's target counts for neither", () => {
  for (
    const late of [
      { firstTokenMs: 101 },
      { wholeMs: 471 },
      { outcome: "truncated" },
      { outcome: "not-run" },
    ] as const
  ) {
    const judgement = judge([recordOf({ answer: late })], [runOf()], OPTIONS);
    assert.equal(judgement.classes[0]?.attainment, 0);
    assert.equal(judgement.goodput, 0);
  }
});

test("a sender that is late does not make an answer look early", () => {
  const late = recordOf({ dueAt: 900 });
  const judgement = judge([late], [runOf()], OPTIONS);
  assert.equal(judgement.classes[0]?.attainment, 0);
});

test("a run told as not run is found", () => {
  const refused = { answer: { outcome: "not-run", status: 503 } } as const;
  assert.deepEqual(violations(refused, [runOf()]), ["false-not-run"]);
  assert.deepEqual(violations(refused, [runOf({ refused: true })]), []);
  assert.deepEqual(violations(refused, []), []);
});

test("a second run of what is not repeatable is found by request", () => {
  const card = { arrival: { class: "job-card", repeatable: false } };
  const twice = [runOf(), runOf({ attemptId: "r1-2", startedAt: 1_300 })];
  assert.deepEqual(violations(card, twice), ["double-run"]);
  assert.deepEqual(violations({}, twice), []);
});

test("a second run under one idempotency key is found across requests", () => {
  const card = {
    arrival: { class: "job-card", repeatable: false },
    idempotencyKey: "k",
  };
  const records = [
    recordOf(card),
    recordOf({ ...card, answer: { requestId: "r2" } }),
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

test("corrupt answers and answers of no known run are found", () => {
  const corrupt = { answer: { outcome: "corrupt" } } as const;
  assert.deepEqual(violations(corrupt, [runOf()]), ["corrupt-answer"]);
  assert.deepEqual(violations({}, []), ["unknown-run"]);
});

test("an answer that broke off and says so breaks no promise", () => {
  const broken = { answer: { outcome: "truncated" } } as const;
  assert.deepEqual(violations(broken, [runOf({ cancelled: true })]), []);
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
