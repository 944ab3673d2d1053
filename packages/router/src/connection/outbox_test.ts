import assert from "node:assert/strict";
import { test } from "node:test";
import { Outbox } from "./outbox.ts";

// A link carries less than there is to tell. Runners for which requests wait go
// first; what does not fit stays for the next message and is not lost.
test("urgent runners go first, and the others later", () => {
  const outbox = new Outbox();
  outbox.addRunners(["calm-1", "calm-2", "moved"], false);
  outbox.addRunners(["moved", "urgent"], true);
  assert.deepEqual(outbox.take(3).runners, ["moved", "urgent", "calm-1"]);
  assert.equal(outbox.urgent, false);
  assert.deepEqual(outbox.take(3).runners, ["calm-2"]);
  assert.equal(outbox.empty, true);
});
