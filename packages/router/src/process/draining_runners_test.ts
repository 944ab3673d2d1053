import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { DrainingRunners } from "./draining_runners.ts";

const ELEVEN_MINUTES_MS = 660_000;

test("a runner is reported to others once, and to new peers always", () => {
  const runners = new DrainingRunners(SILENT_LOG);
  runners.recordStated("a", 5);
  runners.recordStated("a", 6);
  const update = { runner: "a", at: 5 };
  assert.deepEqual(runners.takeUpdates(), [update]);
  assert.deepEqual(runners.takeUpdates(), []);
  assert.deepEqual(runners.applyUpdates([update], 7), []);
  assert.deepEqual(runners.snapshot(), [update]);
});

// Guards against an entry that lapses during an outage and comes back as ready.
test("a runner that is not listed is forgotten only after minutes", () => {
  const runners = new DrainingRunners(SILENT_LOG);
  runners.recordStated("listed", 0);
  runners.recordStated("unlisted", 0);
  const ids = new Set(["listed"]);
  runners.retain(ids, ELEVEN_MINUTES_MS / 2);
  assert.ok(runners.has("unlisted"));
  runners.retain(ids, ELEVEN_MINUTES_MS);
  assert.ok(runners.has("listed"));
  assert.ok(!runners.has("unlisted"));
});
