import assert from "node:assert/strict";
import { test } from "node:test";
import { emptyDirectory, SILENT_LOG } from "../../tests/fixtures.ts";
import { RestartDetector } from "./restart_detector.ts";
import { runnerId } from "./runner.ts";
import type { Runner } from "./runner.ts";

function runnerStartedAt(startedAtMs: number | undefined): Runner {
  return {
    id: runnerId("a", startedAtMs),
    name: "a",
    startedAtMs,
    service: "s",
    address: "10.0.0.1",
    port: 1,
    failureDomain: "z",
    slots: 1,
    draining: false,
    warmUpMs: 0,
  };
}

/** A detector for one runner that responds with the given results in turn. */
function detectorFor(
  runner: Runner,
  results: readonly (number | Error | undefined)[],
  mayQuery: () => boolean = () => true,
) {
  const directory = emptyDirectory();
  directory.replace({ revision: 1, runners: [runner] });
  let queryCount = 0;
  let countedQueries = 0;
  const detector = new RestartDetector({
    cachedParts: () => Promise.resolve({ startedAtMs: undefined, parts: [] }),
    startTime() {
      const result = results[queryCount++];
      return result instanceof Error
        ? Promise.reject(result)
        : Promise.resolve(result);
    },
  }, {
    directory,
    mayQuery,
    recordQuery: () => countedQueries += 1,
    log: SILENT_LOG,
    recordStatements() {},
  });
  return {
    directory,
    detector,
    queryCount: () => queryCount,
    countedQueries: () => countedQueries,
  };
}

// The store is down; a runner crashes and restarts under the same name two
// seconds later. Until its entry can be written again, prompts would be routed
// to the cache that it has lost, and be prefilled there again beside its other
// requests.
test("a runner whose connection broke is queried for its start", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const runner = runnerStartedAt(100);
  const { directory, detector, queryCount } = detectorFor(runner, [
    new Error("refused"),
    new Error("refused"),
    200,
  ]);
  const check = detector.check(runner);
  void detector.check(runner);
  for (let second = 0; second < 3; second++) {
    await new Promise((resolve) => setImmediate(resolve));
    t.mock.timers.tick(1_000);
  }
  await check;
  assert.equal(queryCount(), 3);
  assert.equal(directory.ready("s")[0]?.startedAtMs, 200);
});

test("a runner that reports no start time is not queried", async () => {
  const runner = runnerStartedAt(undefined);
  const { detector, queryCount } = detectorFor(runner, [200]);
  await detector.check(runner);
  assert.equal(queryCount(), 0);
});

test("a runner that has not restarted keeps its id", async () => {
  const runner = runnerStartedAt(100);
  const { directory, detector } = detectorFor(runner, [100]);
  await detector.check(runner);
  assert.equal(directory.ready("s")[0]?.id, runner.id);
});

test("a runner confirms its start once for streams that break off together", async () => {
  const runner = runnerStartedAt(100);
  const { detector, queryCount } = detectorFor(runner, [100]);
  const confirmed = await Promise.all(
    [1, 2, 3].map(() => detector.confirm(runner, 300)),
  );
  assert.deepEqual(confirmed, [true, true, true]);
  assert.equal(queryCount(), 1);
});

// Guards against streams that continue at a runner with other software.
test("a runner with another start confirms nothing, and the start is recorded", async () => {
  const runner = runnerStartedAt(100);
  const { directory, detector } = detectorFor(runner, [200]);
  assert.equal(await detector.confirm(runner, 300), false);
  assert.equal(directory.ready("s")[0]?.startedAtMs, 200);
});

// Queries count against the rate limit that a runner states.
test("a runner at its rate limit is not queried", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  let mayQuery = false;
  const { detector, queryCount } = detectorFor(
    runnerStartedAt(100),
    [100],
    () => mayQuery,
  );
  const check = detector.check(runnerStartedAt(100));
  assert.equal(queryCount(), 0);
  mayQuery = true;
  t.mock.timers.tick(1_000);
  await check;
  assert.equal(queryCount(), 1);
});

// Guards against streams that never continue at a runner whose limit leaves less than
// one request a second: the request that is to continue has taken its place.
test("a runner at its rate limit confirms its start, which is counted", async () => {
  const runner = runnerStartedAt(100);
  const { detector, countedQueries } = detectorFor(runner, [100], () => false);
  assert.equal(await detector.confirm(runner, 300), true);
  assert.equal(countedQueries(), 1);
});
