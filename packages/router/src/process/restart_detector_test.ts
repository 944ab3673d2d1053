import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { RestartDetector } from "./restart_detector.ts";
import { runnerId } from "./runner.ts";
import { RunnerDirectory } from "./runner_directory.ts";
import type { Runner } from "./runner.ts";

function life(startedAtMs: number | undefined): Runner {
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

/** A watch over one runner, whose answers a test gives in turn. */
function watchOver(
  runner: Runner,
  answers: readonly (number | Error | undefined)[],
  mayAsk: () => boolean = () => true,
) {
  const directory = new RunnerDirectory();
  directory.replace({ revision: 1, runners: [runner] });
  let asked = 0;
  const watch = new RestartDetector({
    cachedParts: () => Promise.resolve({ startedAtMs: undefined, parts: [] }),
    startTime() {
      const answer = answers[asked++];
      return answer instanceof Error
        ? Promise.reject(answer)
        : Promise.resolve(answer);
    },
  }, { directory, mayAsk, log: SILENT_LOG });
  return { directory, watch, asked: () => asked };
}

// The store is down, a runner crashes and comes back under its name two seconds
// later. Callers' prompts would go where they were once read, and be read anew
// beside those whose home it is, until its entry can be written again.
test("a runner whose connection broke is asked when it began", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const runner = life(100);
  const { directory, watch, asked } = watchOver(runner, [
    new Error("refused"),
    new Error("refused"),
    200,
  ]);
  const asking = watch.check(runner);
  void watch.check(runner);
  for (let second = 0; second < 3; second++) {
    await new Promise((resolve) => setImmediate(resolve));
    t.mock.timers.tick(1_000);
  }
  await asking;
  assert.equal(asked(), 3);
  assert.equal(directory.ready("s")[0]?.startedAtMs, 200);
});

test("a runner that does not tell when it began is not asked", async () => {
  const runner = life(undefined);
  const { watch, asked } = watchOver(runner, [200]);
  await watch.check(runner);
  assert.equal(asked(), 0);
});

test("a runner that goes on is still the same", async () => {
  const runner = life(100);
  const { directory, watch } = watchOver(runner, [100]);
  await watch.check(runner);
  assert.equal(directory.ready("s")[0]?.id, runner.id);
});

// Guards against questions beyond what a runner says that it takes.
test("a runner that has had its limit is not asked", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  let mayAsk = false;
  const { watch, asked } = watchOver(life(100), [100], () => mayAsk);
  const watched = watch.check(life(100));
  assert.equal(asked(), 0);
  mayAsk = true;
  t.mock.timers.tick(1_000);
  await watched;
  assert.equal(asked(), 1);
});
