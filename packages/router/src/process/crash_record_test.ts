import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashRecord } from "./crash_record.ts";
import type { CrashedRun } from "./crash_entry.ts";
import type { Fields } from "./line.ts";

/** Milliseconds from a run's beginning to the end of its runner. */
const RUN_MS = 50;
const QUARANTINE_MS = 600_000;
const MEMORY_MS = 3_600_000;

/** A record, and the names of what it logs. */
function recordWithLog(): { record: CrashRecord; logged: Fields[] } {
  const logged: Fields[] = [];
  const record = new CrashRecord({
    event: (_, fields) => void logged.push(fields),
    decision() {},
  });
  return { record, logged };
}

/** A run that began when the runner before it had ended. */
function runAt(at: number, fields: Partial<CrashedRun> = {}): CrashedRun {
  return {
    fingerprint: "bad",
    runner: `r-${at}`,
    startedAt: at,
    endedAt: at + RUN_MS,
    ...fields,
  };
}

function isRefused(record: CrashRecord, fingerprint: string, now: number) {
  return record.quarantine(fingerprint, now) !== undefined;
}

/** Ends runners under a request, one after the other. */
function endRunners(
  record: CrashRecord,
  options: {
    readonly count: number;
    readonly from?: number;
    readonly fingerprint?: string;
  },
): void {
  const { count, from = 0, fingerprint = "bad" } = options;
  for (let index = 0; index < count; index++) {
    const run = runAt(from + 100 * index, { fingerprint });
    record.recordCrashes([run], run.endedAt);
  }
}

test("a request is not sent any more after three runners ended under it in turn", () => {
  const { record, logged } = recordWithLog();
  endRunners(record, { count: 2 });
  assert.equal(isRefused(record, "bad", 300), false);
  endRunners(record, { count: 1, from: 400 });
  assert.equal(record.quarantine("bad", 500)?.crashes, 3);
  assert.equal(logged.length, 1);
  assert.equal(logged[0]!.fingerprint, "bad");
});

// Guards against blame for requests that were beside the one that ends runners.
test("requests that were at one of the ends are sent on", () => {
  const { record } = recordWithLog();
  for (const at of [0, 100, 200]) {
    const victim = `victim-${at}`;
    record.recordCrashes([runAt(at), runAt(at, { fingerprint: victim })], at);
    assert.equal(isRefused(record, victim, at), false);
  }
  assert.equal(isRefused(record, "bad", 300), true);
});

test("an end that several daemons tell of counts once", () => {
  const { record } = recordWithLog();
  for (const delay of [0, 100, 200]) {
    const told = runAt(delay, { runner: "r" });
    record.applyUpdate({ crashed: [told], answers: [] }, 300);
  }
  assert.equal(isRefused(record, "bad", 300), false);
});

// Guards against blame for a request that is at many runners when they lose power.
test("runners that end together under a request count as one", () => {
  const { record } = recordWithLog();
  const runs = [0, 1, 2, 3, 4].map((index) =>
    runAt(index, { endedAt: 100 + index })
  );
  record.recordCrashes(runs, 200);
  assert.equal(isRefused(record, "bad", 200), false);
});

test("ends count the same in whatever order they are told", () => {
  const runs = [runAt(0), runAt(100), runAt(200)];
  for (const order of [[0, 1, 2], [2, 1, 0], [1, 2, 0]]) {
    const { record } = recordWithLog();
    for (const index of order) {
      record.applyUpdate({ crashed: [runs[index]!], answers: [] }, 300);
    }
    assert.equal(isRefused(record, "bad", 300), true);
  }
});

// Guards against blame for a request that comes over and over while runners end.
test("a request that is answered in between is sent on", () => {
  const { record } = recordWithLog();
  for (let round = 0; round < 20; round++) {
    endRunners(record, { count: 2, from: 1_000 * round });
    record.recordResponse("bad", 1_000 * round + 500);
  }
  assert.equal(isRefused(record, "bad", 20_000), false);
});

test("a request that was answered before is sent until six runners end in turn", () => {
  const { record } = recordWithLog();
  record.recordResponse("bad", 0);
  endRunners(record, { count: 5, from: 100 });
  assert.equal(isRefused(record, "bad", 700), false);
  endRunners(record, { count: 1, from: 700 });
  assert.equal(isRefused(record, "bad", 800), true);
});

// Guards against blame where the daemon that saw the ends never saw an answer.
test("a daemon that has seen a request answered tells those that have not", () => {
  const [seeing, vouching] = [recordWithLog().record, recordWithLog().record];
  vouching.recordResponse("bad", 0);
  endRunners(seeing, { count: 2, from: 100 });
  vouching.applyUpdate(seeing.takeUpdates(), 300);
  const told = vouching.takeUpdates();
  assert.deepEqual(told.answers, [{ fingerprint: "bad", at: 0 }]);
  seeing.applyUpdate(told, 300);
  endRunners(seeing, { count: 1, from: 400 });
  assert.equal(isRefused(seeing, "bad", 500), false);
});

test("only what was not known is passed on", () => {
  const { record } = recordWithLog();
  const news = {
    crashed: [runAt(0)],
    answers: [{ fingerprint: "bad", at: 90 }],
  };
  assert.deepEqual(record.applyUpdate(news, 100), news);
  assert.deepEqual(record.applyUpdate(news, 100), { crashed: [], answers: [] });
});

test("a request is sent again after its quarantine, until the next end", () => {
  const { record, logged } = recordWithLog();
  endRunners(record, { count: 3 });
  const freeAt = 200 + RUN_MS + QUARANTINE_MS;
  assert.equal(isRefused(record, "bad", freeAt - 1), true);
  assert.equal(isRefused(record, "bad", freeAt), false);
  let watched = 0;
  record.watch("bad", () => watched += 1);
  endRunners(record, { count: 1, from: freeAt });
  assert.equal(isRefused(record, "bad", freeAt + 100), true);
  assert.equal(watched, 1);
  assert.equal(logged.length, 2);
});

test("ends are forgotten after an hour", () => {
  const { record } = recordWithLog();
  endRunners(record, { count: 3 });
  const later = 200 + RUN_MS + MEMORY_MS + 1;
  endRunners(record, { count: 1, from: later });
  assert.equal(isRefused(record, "bad", later + 200), false);
});

// Guards against a caller that varies its bodies and so fills the memory.
test("what is remembered is bounded, and keeps what is not sent any more", () => {
  const { record } = recordWithLog();
  endRunners(record, { count: 3 });
  for (let index = 0; index < 10_000; index++) {
    const fingerprint = `varied-${index}`;
    record.recordCrashes(
      [runAt(1_000 + index, { fingerprint })],
      1_100 + index,
    );
    record.recordResponse(`answered-${index}`, 1_100 + index);
  }
  assert.equal(isRefused(record, "bad", 20_000), true);
  const { crashed } = record.snapshot(20_000);
  assert.ok(crashed.length <= 200, `${crashed.length} told`);
  assert.equal(crashed[0]!.fingerprint, "bad");
  record.recordResponse("varied-0", 20_000);
  assert.deepEqual(record.takeUpdates().answers, []);
});

test("a daemon that has just been met knows what is not sent any more", () => {
  const { record } = recordWithLog();
  endRunners(record, { count: 3 });
  const { record: fresh } = recordWithLog();
  fresh.applyUpdate(record.snapshot(300), 300);
  assert.equal(isRefused(fresh, "bad", 300), true);
});
