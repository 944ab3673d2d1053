import assert from "node:assert/strict";
import { test } from "node:test";
import {
  SILENT_LOG,
  startFakeRunner,
  waitUntil,
} from "../../tests/fixtures.ts";
import type { FakeRunner } from "../../tests/fixtures.ts";
import { CrashRecord } from "../process/crash_record.ts";
import type { Fields } from "../process/log_line.ts";
import type { RunnerPaths } from "../process/runner_paths.ts";
import { CrashDetector } from "./crash_detector.ts";
import { TcpRunnerNetwork } from "./runner_network.ts";

/** Paths of a daemon whose peers reach a runner, or do not. */
function createPaths(
  reachedByPeers: boolean,
): Pick<RunnerPaths, "pathTo" | "check" | "askPeers"> {
  return {
    pathTo: () => "direct",
    check: () => Promise.resolve(reachedByPeers),
    askPeers: () => Promise.resolve("unknown"),
  };
}

/** A detector, and the log lines of its probes. */
function createDetector(reachedByPeers = false): {
  readonly detector: CrashDetector;
  readonly found: Fields[];
} {
  const found: Fields[] = [];
  const log = {
    event: (_: string, fields: Fields) => void found.push(fields),
    decision() {},
  };
  return {
    detector: new CrashDetector({
      log,
      metrics: { runnerCrashed() {} },
      record: new CrashRecord(SILENT_LOG),
      network: new TcpRunnerNetwork(),
      paths: createPaths(reachedByPeers),
    }),
    found,
  };
}

function recordTwoBrokenRuns(
  detector: CrashDetector,
  { runner }: FakeRunner,
): void {
  detector.recordBrokenRun(runner, {
    suspects: ["one", "service/a"],
    startedAt: 0,
  });
  detector.recordBrokenRun(runner, {
    suspects: ["two", "service/a", "service/b"],
    startedAt: 0,
  });
}

test("a crashed runner is probed once, for all its requests", async (t) => {
  const fake = await startFakeRunner(t, "i-1", () => {});
  const { detector, found } = createDetector();
  await fake.end();
  recordTwoBrokenRuns(detector, fake);
  await waitUntil(() => found.length > 0);
  assert.equal(found.length, 1);
  assert.equal(found[0]!.ended, true);
  assert.equal(found[0]!.fingerprints, "one,two");
  assert.equal(found[0]!.parts, "service/a,service/b");
});

test("a live runner that broke off responses has not crashed", async (t) => {
  const fake = await startFakeRunner(t, "i-1", () => {});
  const { detector, found } = createDetector();
  recordTwoBrokenRuns(detector, fake);
  await waitUntil(() => found.length > 0);
  assert.equal(found[0]!.ended, false);
});

// Guards against requests that are blamed for a lost path.
test("a runner that refuses this daemon only has not crashed", async (t) => {
  const { detector, found } = createDetector(true);
  const runner = await startFakeRunner(t, "r-1", () => {});
  await runner.end();
  recordTwoBrokenRuns(detector, runner);
  await waitUntil(() => found.length > 0);
  assert.deepEqual(found.map(({ ended }) => ended), [false]);
});
