import type { Answer, LedgerEntry } from "@umbermast/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Arrival } from "./arrivals.ts";
import type { CallerStory } from "./faults_callers.ts";
import { faultVerdict, type RunnerRuns } from "./faults_verdict.ts";

const DAEMON = "http://127.0.0.1:1";
const RUNNER = "http://127.0.0.1:2";

function arrivalOf(changes: Partial<Arrival> = {}): Arrival {
  return {
    index: 0,
    atMs: 0,
    phase: "none",
    class: "quote",
    workspace: "w",
    service: "s",
    promptTokens: 10,
    outputTokens: 20,
    prefix: 0,
    streamed: true,
    repeatable: true,
    ...changes,
  };
}

/** A story of tries that ended as given; the key makes it one of a job card. */
function storyOf(
  answers: readonly Partial<Answer>[],
  idempotencyKey?: string,
): CallerStory {
  const arrival = arrivalOf({ repeatable: idempotencyKey === undefined });
  const tries = answers.map((answer) => ({
    arrival,
    daemon: DAEMON,
    idempotencyKey,
    dueAt: 1_000,
    sentAt: 1_000,
    answer: {
      outcome: "complete" as const,
      status: 200,
      requestId: "r1",
      tokens: 20,
      wholeMs: 250,
      ...answer,
    },
  }));
  return { arrival, tries };
}

function runOf(changes: Partial<LedgerEntry> = {}): LedgerEntry {
  return {
    requestId: "r1",
    attemptId: "r1.1.1",
    idempotencyKey: null,
    workspace: "w",
    class: "quote",
    model: null,
    startedAt: 1_000,
    endedAt: 1_200,
    promptTokens: 10,
    tokens: 20,
    cancelled: false,
    refused: false,
    end: "complete",
    resumes: 0,
    ...changes,
  };
}

function verdictOf(
  stories: readonly CallerStory[],
  runs: readonly LedgerEntry[],
  more: {
    readonly fencing?: readonly number[];
    readonly leftAt?: number;
    readonly shutdownAt?: number;
  } = {},
) {
  const runner: RunnerRuns = {
    url: RUNNER,
    runs,
    fencing: more.fencing ?? [],
  };
  const { leftAt, shutdownAt } = more;
  return faultVerdict([{ name: "none", stories }], {
    runners: [runner],
    departures: leftAt === undefined
      ? []
      : [{ runner: "a", url: RUNNER, at: leftAt, until: leftAt + 10_000 }],
    shutdowns: shutdownAt === undefined
      ? []
      : [{ url: DAEMON, at: shutdownAt }],
    seconds: 10,
  });
}

test("a whole answer with its run breaks no promise", () => {
  const verdict = verdictOf([storyOf([{}])], [runOf()]);
  assert.equal(verdict.complete, 1);
  assert.equal(verdict.byFault["none"]?.share, 1);
  assert.deepEqual(verdict.breaches, []);
});

test("an answer short of tokens counts as truncated, a foreign one as mixed", () => {
  const short = {
    outcome: "corrupt" as const,
    finding: "expected 20 tokens, got 3",
  };
  const mixed = { outcome: "corrupt" as const, finding: "token 3: expected" };
  const verdict = verdictOf([storyOf([short]), storyOf([mixed])], [runOf()]);
  assert.equal(verdict.truncatedCalledComplete, 1);
  assert.equal(verdict.wrongOrMixed, 1);
});

test("a run behind a not-run counts, also when a later try is complete", () => {
  const story = storyOf([{ outcome: "not-run", status: 503 }, {
    requestId: "r2",
  }]);
  const verdict = verdictOf([story], [runOf(), runOf({ requestId: "r2" })]);
  assert.equal(verdict.falseNotRun, 1);
  assert.equal(verdict.retriedOk, 1);
});

test("two runs of one key count once as a double run", () => {
  const story = storyOf([{ outcome: "unknown" }, { requestId: "r2" }], "k");
  const verdict = verdictOf([story], [
    runOf({ idempotencyKey: "k" }),
    runOf({ idempotencyKey: "k", requestId: "r2" }),
  ]);
  assert.equal(verdict.doubleRuns, 1);
});

test("an answer that was kept for its key needs no run of its own", () => {
  const story = storyOf([{ outcome: "unknown" }, { requestId: "r2" }], "k");
  const verdict = verdictOf([story], [runOf({ idempotencyKey: "k" })]);
  assert.equal(verdict.wrongOrMixed, 0);
  assert.equal(verdict.doubleRuns, 0);
});

test("an answer broken across a shutdown counts as cut by it", () => {
  const cut = storyOf([{ outcome: "truncated" }]);
  assert.equal(
    verdictOf([cut], [runOf()], { shutdownAt: 1_100 }).cutByShutdown,
    1,
  );
  assert.equal(
    verdictOf([cut], [runOf()], { shutdownAt: 2_000 }).cutByShutdown,
    0,
  );
});

test("the last new work of a leaving runner is counted from its first sign", () => {
  const runs = [runOf({ startedAt: 900 }), runOf({ startedAt: 1_700 })];
  const verdict = verdictOf([storyOf([{}])], runs, { leftAt: 1_000 });
  assert.equal(verdict.newWorkToLeavingAfterMs, 700);
});

test("an order accepted after a newer one counts as stale", () => {
  const verdict = verdictOf([], [], { fencing: [1, 3, 2, 3] });
  assert.equal(verdict.staleOrders, 1);
});
