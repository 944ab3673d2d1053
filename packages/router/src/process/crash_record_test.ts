import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashRecord } from "./crash_record.ts";
import type { CrashedRun } from "./crash_entry.ts";
import type { Fields } from "./log_line.ts";

/** Milliseconds from the start of a run to the crash of its runner. */
const RUN_MS = 50;
const QUARANTINE_MS = 600_000;
const RETENTION_MS = 3_600_000;

/** A record, and the fields of its log events. */
function recordWithLog(): { record: CrashRecord; logged: Fields[] } {
  const logged: Fields[] = [];
  const record = new CrashRecord({
    event: (_, fields) => void logged.push(fields),
    decision() {},
  });
  return { record, logged };
}

/** A run on a runner of its own, which crashes `RUN_MS` after the start. */
function runAt(at: number, fields: Partial<CrashedRun> = {}): CrashedRun {
  return {
    suspect: "bad",
    runner: `r-${at}`,
    startedAt: at,
    endedAt: at + RUN_MS,
    ...fields,
  };
}

function isQuarantined(record: CrashRecord, suspect: string, now: number) {
  return record.quarantine(suspect, now) !== undefined;
}

/** Records consecutive crashes of runners that run a request. */
function recordConsecutive(
  record: CrashRecord,
  options: {
    readonly count: number;
    readonly from?: number;
    readonly suspect?: string;
  },
): void {
  const { count, from = 0, suspect = "bad" } = options;
  for (let index = 0; index < count; index++) {
    const run = runAt(from + 100 * index, { suspect });
    record.recordCrashes([run], run.endedAt);
  }
}

test("a request is quarantined after three consecutive crashes", () => {
  const { record, logged } = recordWithLog();
  recordConsecutive(record, { count: 2 });
  assert.equal(isQuarantined(record, "bad", 300), false);
  recordConsecutive(record, { count: 1, from: 400 });
  assert.equal(record.quarantine("bad", 500)?.crashes, 3);
  assert.equal(logged.length, 1);
  assert.equal(logged[0]!.fingerprint, "bad");
});

// Requests that run beside the one that crashes runners must not be blamed.
test("requests at one of the crashes are not quarantined", () => {
  const { record } = recordWithLog();
  for (const at of [0, 100, 200]) {
    const victim = `victim-${at}`;
    record.recordCrashes([runAt(at), runAt(at, { suspect: victim })], at);
    assert.equal(isQuarantined(record, victim, at), false);
  }
  assert.equal(isQuarantined(record, "bad", 300), true);
});

test("a crash that several daemons report counts once", () => {
  const { record } = recordWithLog();
  for (const delay of [0, 100, 200]) {
    const reported = runAt(delay, { runner: "r" });
    record.applyUpdate({ crashed: [reported], responses: [] }, 300);
  }
  assert.equal(isQuarantined(record, "bad", 300), false);
});

// A request that is at many runners when they lose power must not be blamed.
test("simultaneous crashes of a request's runners count as one", () => {
  const { record } = recordWithLog();
  const runs = [0, 1, 2, 3, 4].map((index) =>
    runAt(index, { endedAt: 100 + index })
  );
  record.recordCrashes(runs, 200);
  assert.equal(isQuarantined(record, "bad", 200), false);
});

test("crashes count the same in any order of arrival", () => {
  const runs = [runAt(0), runAt(100), runAt(200)];
  for (const order of [[0, 1, 2], [2, 1, 0], [1, 2, 0]]) {
    const { record } = recordWithLog();
    for (const index of order) {
      record.applyUpdate({ crashed: [runs[index]!], responses: [] }, 300);
    }
    assert.equal(isQuarantined(record, "bad", 300), true);
  }
});

// A request that is repeated often while runners crash must not be blamed.
test("a request that completes in between is not quarantined", () => {
  const { record } = recordWithLog();
  for (let round = 0; round < 20; round++) {
    recordConsecutive(record, { count: 2, from: 1_000 * round });
    record.recordResponse(["bad"], 1_000 * round + 500);
  }
  assert.equal(isQuarantined(record, "bad", 20_000), false);
});

test("a request that has completed is quarantined after six crashes", () => {
  const { record } = recordWithLog();
  record.recordResponse(["bad"], 0);
  recordConsecutive(record, { count: 5, from: 100 });
  assert.equal(isQuarantined(record, "bad", 700), false);
  recordConsecutive(record, { count: 1, from: 700 });
  assert.equal(isQuarantined(record, "bad", 800), true);
});

// The daemon that saw the crashes may never have seen a complete response. It
// must learn of one from another daemon, or it would blame the request.
test("a daemon that saw a request complete reports this to the others", () => {
  const [observer, witness] = [recordWithLog().record, recordWithLog().record];
  witness.recordResponse(["bad"], 0);
  recordConsecutive(observer, { count: 2, from: 100 });
  witness.applyUpdate(observer.takeUpdates(), 300);
  const reported = witness.takeUpdates();
  assert.deepEqual(reported.responses, [{ suspect: "bad", at: 0 }]);
  observer.applyUpdate(reported, 300);
  recordConsecutive(observer, { count: 1, from: 400 });
  assert.equal(isQuarantined(observer, "bad", 500), false);
});

test("only new updates are forwarded", () => {
  const { record } = recordWithLog();
  const update = {
    crashed: [runAt(0)],
    responses: [{ suspect: "bad", at: 90 }],
  };
  assert.deepEqual(record.applyUpdate(update, 100), update);
  assert.deepEqual(record.applyUpdate(update, 100), {
    crashed: [],
    responses: [],
  });
});

test("a request is sent again after its quarantine, until the next crash", () => {
  const { record, logged } = recordWithLog();
  recordConsecutive(record, { count: 3 });
  const freeAt = 200 + RUN_MS + QUARANTINE_MS;
  assert.equal(isQuarantined(record, "bad", freeAt - 1), true);
  assert.equal(isQuarantined(record, "bad", freeAt), false);
  let watched = 0;
  record.watch(["bad"], () => watched += 1);
  recordConsecutive(record, { count: 1, from: freeAt });
  assert.equal(isQuarantined(record, "bad", freeAt + 100), true);
  assert.equal(watched, 1);
  assert.equal(logged.length, 2);
});

test("crashes are forgotten after an hour", () => {
  const { record } = recordWithLog();
  recordConsecutive(record, { count: 3 });
  const later = 200 + RUN_MS + RETENTION_MS + 1;
  recordConsecutive(record, { count: 1, from: later });
  assert.equal(isQuarantined(record, "bad", later + 200), false);
});

// A caller that varies its bodies must not exhaust the memory.
test("the record is bounded and keeps quarantined requests", () => {
  const { record } = recordWithLog();
  recordConsecutive(record, { count: 3 });
  for (let index = 0; index < 10_000; index++) {
    const suspect = `varied-${index}`;
    record.recordCrashes(
      [runAt(1_000 + index, { suspect })],
      1_100 + index,
    );
    record.recordResponse([`answered-${index}`], 1_100 + index);
  }
  assert.equal(isQuarantined(record, "bad", 20_000), true);
  const { crashed } = record.snapshot(20_000);
  assert.ok(crashed.length <= 200, `${crashed.length} reported`);
  assert.equal(crashed[0]!.suspect, "bad");
  record.recordResponse(["varied-0"], 20_000);
  assert.deepEqual(record.takeUpdates().responses, []);
});

test("a snapshot contains quarantined requests", () => {
  const { record } = recordWithLog();
  recordConsecutive(record, { count: 3 });
  const { record: fresh } = recordWithLog();
  fresh.applyUpdate(record.snapshot(300), 300);
  assert.equal(isQuarantined(fresh, "bad", 300), true);
});

/** A part of prompts, as a suspect. */
const PART = "service/part";

test("a part of prompts is quarantined though no two requests are alike", () => {
  const { record, logged } = recordWithLog();
  recordConsecutive(record, { count: 3, suspect: PART });
  const { suspect } = record.quarantineOf(["other", PART], 400)!;
  assert.equal(suspect, PART);
  assert.equal(logged[0]!.part, PART);
  assert.equal(record.quarantineOf(["other", "service/other"], 400), undefined);
});

// Guards against the part that sound requests share, which is at most crashes, too.
test("a part that completes between crashes is not quarantined", () => {
  const { record } = recordWithLog();
  for (let index = 0; index < 20; index++) {
    recordConsecutive(record, { count: 1, from: 100 * index, suspect: PART });
    record.recordResponse([PART], 100 * index + 60);
  }
  assert.equal(isQuarantined(record, PART, 2_100), false);
});

// Guards against a route that is lost for long because runners crash for another reason.
test("a part that has completed is quarantined for a short time, then for longer", () => {
  const { record } = recordWithLog();
  record.recordResponse([PART], 0);
  recordConsecutive(record, { count: 6, from: 100, suspect: PART });
  assert.equal(isQuarantined(record, PART, 5_600), true);
  assert.equal(isQuarantined(record, PART, 5_700), false);
  recordConsecutive(record, { count: 1, from: 6_000, suspect: PART });
  assert.equal(isQuarantined(record, PART, 16_000), true);
  record.recordResponse([PART], 16_100);
  assert.equal(isQuarantined(record, PART, 16_200), false);
});

// Guards against a crash that does not count because another request with the part had
// been at the runner for long.
test("of several requests with a part at a runner the last to start counts", () => {
  const { record } = recordWithLog();
  for (const at of [0, 1_000, 2_000]) {
    const first = runAt(at, { suspect: PART, startedAt: at - 1_500 });
    const last = runAt(at, { suspect: PART });
    record.recordCrashes([first], at + RUN_MS);
    record.recordCrashes([last], at + RUN_MS);
  }
  assert.equal(isQuarantined(record, PART, 2_100), true);
});

// Guards against a completion that is taken for one that was known before the crash.
test("a completion at another daemon clears a part though it completed here before", () => {
  const { record } = recordWithLog();
  record.recordResponse([PART], 0);
  recordConsecutive(record, { count: 6, from: 100, suspect: PART });
  record.applyUpdate({
    crashed: [],
    responses: [{ suspect: PART, at: 1_500 }],
  }, 1_600);
  assert.equal(isQuarantined(record, PART, 1_600), false);
});
