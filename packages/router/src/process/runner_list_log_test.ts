import assert from "node:assert/strict";
import { test } from "node:test";
import { emptyDirectory, testEngine } from "../../tests/fixtures.ts";
import type { Fields } from "./log_line.ts";
import { RunnerListLog } from "./runner_list_log.ts";

// Guards against a log that is filled by a list that changes many times a second.
test("changes of the ready runners are logged up to a bound", (t) => {
  let now = 0;
  t.mock.method(performance, "now", () => now);
  const directory = emptyDirectory();
  const lines: Fields[] = [];
  const log = new RunnerListLog({
    event: (_name, fields) => void lines.push(fields),
    decision() {},
  }, directory);
  const apply = (revision: number, count: number) => {
    const runners = Array.from(
      { length: count },
      (_, n) => testEngine(`r${n}`),
    );
    log.apply("peer p", () => directory.replace({ revision, runners }));
  };
  apply(1, 0);
  assert.equal(lines.length, 0, "no runner is ready as before");
  for (let revision = 2; revision <= 101; revision++) {
    apply(revision, revision % 2 === 0 ? 3 : 1);
  }
  assert.ok(lines.length <= 20, `${lines.length} lines`);
  const { source, revision, added } = lines[0]!;
  assert.deepEqual([source, revision, added], ["peer p", 2, 3]);
  now += 2_000;
  apply(102, 3);
  assert.equal(lines.at(-1)!["left_out"], 100 - lines.length + 1);
});
