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
import { CrashDetector } from "./crash_detector.ts";
import { TcpRunnerNetwork } from "./runner_network.ts";

/** A detector, and the log lines of its probes. */
function createDetector(): {
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
    }),
    found,
  };
}

function recordTwoBrokenRuns(
  detector: CrashDetector,
  { runner }: FakeRunner,
): void {
  detector.recordBrokenRun(runner, { fingerprint: "one", startedAt: 0 });
  detector.recordBrokenRun(runner, { fingerprint: "two", startedAt: 0 });
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
});

test("a live runner that broke off responses has not crashed", async (t) => {
  const fake = await startFakeRunner(t, "i-1", () => {});
  const { detector, found } = createDetector();
  recordTwoBrokenRuns(detector, fake);
  await waitUntil(() => found.length > 0);
  assert.equal(found[0]!.ended, false);
});
