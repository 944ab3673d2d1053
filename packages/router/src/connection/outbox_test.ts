import assert from "node:assert/strict";
import { test } from "node:test";
import { Outbox } from "./outbox.ts";

// A link has less bandwidth than there are changes. Runners for which requests
// wait go first; loads that do not fit stay for the next message and are not
// lost.
test("urgent runners are sent first, and the others later", () => {
  const outbox = new Outbox();
  outbox.addRunners(["normal-1", "normal-2", "moved"], false);
  outbox.addRunners(["moved", "urgent"], true);
  assert.deepEqual(outbox.take(3).runners, ["moved", "urgent", "normal-1"]);
  assert.equal(outbox.urgent, false);
  assert.deepEqual(outbox.take(3).runners, ["normal-2"]);
  assert.equal(outbox.empty, true);
});

// Guards against a relayed snapshot of a daemon that was cut off, which replaced
// counts and ends that were waiting to be sent by older ones.
test("late counts and ends do not replace later ones", () => {
  const outbox = new Outbox();
  const usage = { incarnation: "a", window: 7 };
  const end = { incarnation: "a", window: 7, left: false };
  outbox.addUsage([{ ...usage, counts: [["office", 50]] }]);
  outbox.addUsage([{ ...usage, counts: [["office", 12], ["shop", 1]] }]);
  outbox.addEnds([end, { ...end, window: 6 }]);
  const update = outbox.take(0);
  assert.deepEqual(update.usage, [
    { ...usage, counts: [["office", 50], ["shop", 1]] },
  ]);
  assert.deepEqual(update.ends, [end]);
});
