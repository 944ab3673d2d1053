import assert from "node:assert/strict";
import { test } from "node:test";
import { RunnerDirectory } from "./runner_directory.ts";
import type { Runner } from "./runner.ts";

function runner(id: string, draining = false): Runner {
  return {
    id,
    name: id,
    startedAtMs: undefined,
    service: "s",
    address: "10.0.0.1",
    port: 1,
    failureDomain: "a",
    slots: 1,
    draining,
    warmUpMs: 0,
  };
}

test("runners that drain or have left get nothing new", () => {
  const directory = new RunnerDirectory();
  directory.replace({ revision: 1, runners: [runner("a"), runner("b")] });
  directory.applyChange(2, [runner("a", true)], ["b"]);
  assert.deepEqual(directory.ready("s"), []);
});

// A runner has left, and a peer that was frozen tells its older list. Taken, it
// would bring the runner back, and requests would go to an address that may
// already belong to another service.
test("an older list does not bring a runner back", () => {
  const directory = new RunnerDirectory();
  directory.replace({ revision: 5, runners: [] });
  assert.equal(
    directory.replace({ revision: 4, runners: [runner("a")] }),
    false,
  );
  directory.applyChange(3, [runner("a")], []);
  assert.deepEqual(directory.ready("s"), []);
});

function life(startedAtMs: number, fields: Partial<Runner> = {}): Runner {
  return { ...runner("a"), id: `a~${startedAtMs}`, startedAtMs, ...fields };
}

// A runner has told that it leaves and crashes; it starts again under its name
// and is ready. Callers would wait in vain for its capacity if what was known of
// the life before counted for the next one.
test("a runner that crashed while it drained is used after its restart", () => {
  const directory = new RunnerDirectory();
  directory.replace({ revision: 1, runners: [life(100, { draining: true })] });
  directory.applyChange(2, [life(200)], []);
  assert.deepEqual(directory.ready("s").map(({ id }) => id), ["a~200"]);
});

// A runner writes its entry, the write is held up, the runner starts again and
// enters itself; then the old write is done. Callers' prompts would be sent by
// what the old life held, or nowhere because it said that it drains.
test("an entry of the life before that comes late is not believed", () => {
  const directory = new RunnerDirectory();
  directory.replace({ revision: 1, runners: [life(200)] });
  directory.applyChange(2, [life(100, { draining: true })], []);
  assert.deepEqual(directory.ready("s").map(({ id }) => id), ["a~200"]);
  const runners = [life(100, { draining: true })];
  directory.replace({ revision: 3, runners });
  assert.deepEqual(directory.ready("s").map(({ id }) => id), ["a~200"]);
});

// A host's clock is set back, then its runner starts again: the new life claims
// an earlier start than the old one. Were it taken for a late entry for ever, its
// drain, or its return, would never be seen.
test("an earlier start that stands is taken after a while", (context) => {
  context.mock.timers.enable({ apis: ["setTimeout"] });
  const directory = new RunnerDirectory();
  directory.replace({ revision: 1, runners: [life(200)] });
  directory.applyChange(2, [life(100, { draining: true })], []);
  context.mock.timers.tick(5_000);
  assert.deepEqual(directory.ready("s"), []);
});

// The same late entry, but the living runner's next one follows, as it does
// within about a second: the late one must not come to life by the clock.
test("a late entry that is replaced never counts", (context) => {
  context.mock.timers.enable({ apis: ["setTimeout"] });
  const directory = new RunnerDirectory();
  directory.replace({ revision: 1, runners: [life(200)] });
  directory.applyChange(2, [life(100, { draining: true })], []);
  directory.applyChange(3, [life(200)], []);
  context.mock.timers.tick(5_000);
  assert.deepEqual(directory.ready("s").map(({ id }) => id), ["a~200"]);
});

// The store is down. A runner starts again under its name and says so itself;
// a peer that does not know yet tells its list of the same revision.
test("a start that the runner tells itself counts before its entry", () => {
  const directory = new RunnerDirectory();
  directory.replace({ revision: 5, runners: [life(100)] });
  directory.recordStart("a", 300);
  directory.replace({ revision: 5, runners: [life(100)] });
  assert.deepEqual(directory.ready("s").map(({ startedAtMs }) => startedAtMs), [
    300,
  ]);
  directory.recordStart("a", 200);
  directory.recordStart("unknown", 400);
  assert.deepEqual(directory.ready("s").map(({ startedAtMs }) => startedAtMs), [
    300,
  ]);
});

// While runners start, the list changes many times a second. Given whole each
// time, 109 of them cost each of 195 daemons a tenth of its processor.
test("a daemon that lags is given what changed, and only that", () => {
  const ahead = new RunnerDirectory();
  const lagging = new RunnerDirectory();
  const all = Array.from({ length: 100 }, (_, index) => runner(`r-${index}`));
  ahead.replace({ revision: 5, runners: all });
  lagging.applyUpdate(ahead.updateSince(lagging.revision));
  ahead.applyChange(6, [{ ...all[3]!, draining: true }], ["r-7"]);
  ahead.replace({
    revision: 8,
    runners: ahead.list.runners.map((each) => ({ ...each })),
  });
  const news = ahead.updateSince(lagging.revision);
  assert.deepEqual(news.runners.map(({ name }) => name), ["r-3"]);
  assert.deepEqual(news.left, ["r-7"]);
  lagging.applyUpdate(news);
  assert.equal(lagging.revision, 8);
  assert.deepEqual(lagging.list.runners, ahead.list.runners);
});

// A daemon was frozen while hundreds of runners went. Of those that went first
// nothing is known any more; given changes alone, it would go on using them.
test("a daemon that lags far behind is given the whole list", () => {
  const ahead = new RunnerDirectory();
  const lagging = new RunnerDirectory();
  ahead.replace({ revision: 1, runners: [runner("r-old"), runner("r-new")] });
  lagging.applyUpdate(ahead.updateSince(0));
  ahead.applyChange(2, [], ["r-old"]);
  for (let revision = 3; revision < 1_200; revision += 2) {
    ahead.applyChange(revision, [runner(`r-${revision}`)], []);
    ahead.applyChange(revision + 1, [], [`r-${revision}`]);
  }
  lagging.applyUpdate(ahead.updateSince(lagging.revision));
  assert.deepEqual(lagging.list.runners.map(({ name }) => name), ["r-new"]);
});
