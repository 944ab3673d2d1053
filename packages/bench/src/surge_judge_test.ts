import assert from "node:assert/strict";
import { test } from "node:test";
import type { Class } from "@umbermast/table";
import type { Answer, LedgerEntry } from "@umbermast/testing";
import type { Arrival } from "./arrivals.ts";
import type { CallerRecord } from "./load_record.ts";
import { judgePhase } from "./surge_judge.ts";
import {
  classesOf,
  engineMs,
  surgeArrivals,
  surgePhases,
} from "./surge_plan.ts";

const STARTED_AT = 1_000_000;
const SECONDS = 10;
const QUOTE: Class = {
  name: "quote",
  tier: 0,
  target: { firstTokenMs: 500 },
  timeoutMs: 10_000,
  minimumShare: 0.2,
};

function recordOf(
  id: string,
  fields: Partial<Answer> = {},
): CallerRecord {
  const arrival: Arrival = {
    index: 0,
    atMs: 0,
    phase: "calm",
    class: "quote",
    workspace: "front-office",
    service: "drafting-llm",
    model: "drafting-llm",
    promptTokens: 100,
    outputTokens: 50,
    prefix: 0,
    streamed: true,
    repeatable: true,
  };
  return {
    arrival,
    daemon: "",
    idempotencyKey: undefined,
    dueAt: STARTED_AT,
    sentAt: STARTED_AT,
    answer: {
      outcome: "complete",
      status: 200,
      requestId: id,
      tokens: 50,
      firstTokenMs: 100,
      wholeMs: 1_000,
      ...fields,
    },
  };
}

function runOf(
  requestId: string,
  fields: Partial<LedgerEntry> = {},
): LedgerEntry {
  return {
    requestId,
    attemptId: `${requestId}.1`,
    idempotencyKey: null,
    workspace: "front-office",
    class: "quote",
    model: "drafting-llm",
    startedAt: STARTED_AT,
    endedAt: STARTED_AT + 1_000,
    promptTokens: 100,
    tokens: 50,
    cancelled: false,
    refused: false,
    end: "complete",
    resumes: 0,
    ...fields,
  };
}

function judge(
  records: readonly CallerRecord[],
  runs: readonly LedgerEntry[],
) {
  return judgePhase({
    phase: "calm",
    records,
    runs,
    classes: [QUOTE],
    startedAt: STARTED_AT,
    seconds: SECONDS,
  });
}

test("counts as goodput only what is whole, in time and within the phase", () => {
  const records = [
    recordOf("timely"),
    recordOf("late", { firstTokenMs: 900 }),
    recordOf("half"),
    recordOf("refused", { outcome: "not-run", tokens: 0 }),
  ];
  const figures = judge(records, [
    runOf("timely"),
    runOf("late"),
    runOf("half", {
      startedAt: STARTED_AT + 9_500,
      endedAt: STARTED_AT + 10_500,
    }),
  ]);
  assert.equal(figures.goodput, 75 / SECONDS);
  assert.equal(figures.classes[0]?.attainment, 0.5);
  assert.equal(figures.classes[0]?.shed, 1);
});

test("counts as waste the tokens of answers that reached nobody whole", () => {
  const records = [
    recordOf("whole"),
    recordOf("cut", { outcome: "truncated" }),
  ];
  const figures = judge(records, [
    runOf("whole"),
    runOf("cut", { tokens: 50, cancelled: true }),
  ]);
  assert.equal(figures.wastedWork, 0.5);
});

test("sends what each phase asks for, the same for every policy", () => {
  const { top } = classesOf("metro");
  const phase = surgePhases("metro").find((it) => it.name === "high-burst")!;
  const options = { seed: 1, seconds: 60 };
  const sent = surgeArrivals("metro", phase, options);
  assert.deepEqual(sent, surgeArrivals("metro", phase, options));
  const demand = sent.filter((it) => it.class === top)
    .reduce((total, it) => total + engineMs(it), 0) / 60 / 8_000;
  assert.ok(Math.abs(demand - 1.2) < 0.12, `${demand} times the capacity`);
});
