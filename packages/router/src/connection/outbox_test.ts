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
