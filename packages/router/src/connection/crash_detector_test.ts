import assert from "node:assert/strict";
import { test } from "node:test";
import {
  SILENT_LOG,
  startFakeRunner,
  waitUntil,
} from "../../tests/fixtures.ts";
import type { FakeRunner } from "../../tests/fixtures.ts";
import { CrashRecord } from "../process/crash_record.ts";
import type { Fields } from "../process/line.ts";
import { CrashDetector } from "./crash_detector.ts";

/** A watch, and what it has found out. */
function watch(): { readonly watch: CrashDetector; readonly found: Fields[] } {
  const found: Fields[] = [];
  const log = {
    event: (_: string, fields: Fields) => void found.push(fields),
    decision() {},
  };
  return {
    watch: new CrashDetector({
      log,
      metrics: { runnerEnded() {} },
      record: new CrashRecord(SILENT_LOG),
    }),
    found,
  };
}

function breakTwo(watch: CrashDetector, { runner }: FakeRunner): void {
  watch.recordBrokenRun(runner, { fingerprint: "one", startedAt: 0 });
  watch.recordBrokenRun(runner, { fingerprint: "two", startedAt: 0 });
}

test("a runner that ended is found out once, with all that was there", async (t) => {
  const played = await startFakeRunner(t, "i-1", () => {});
  const { watch: watched, found } = watch();
  await played.end();
  breakTwo(watched, played);
  await waitUntil(() => found.length > 0);
  assert.equal(found.length, 1);
  assert.equal(found[0]!.ended, true);
  assert.equal(found[0]!.fingerprints, "one,two");
});

test("a runner that broke off answers and lives has not ended", async (t) => {
  const played = await startFakeRunner(t, "i-1", () => {});
  const { watch: watched, found } = watch();
  breakTwo(watched, played);
  await waitUntil(() => found.length > 0);
  assert.equal(found[0]!.ended, false);
});
