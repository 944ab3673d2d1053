import assert from "node:assert/strict";
import { test } from "node:test";
import { ShareOutbox } from "./share_outbox.ts";

test("messages have the largest changes, and are rare while nobody waits", () => {
  const outbox = new ShareOutbox();
  const flows = Array.from({ length: 100 }, (_, index) => ({
    service: "service",
    rank: 0,
    workspace: `w-${index}`,
    cost: index,
  }));
  outbox.add(flows);
  const first = outbox.take(1, 0, false).map(({ workspace }) => workspace);
  assert.equal(first.length, 40);
  assert.deepEqual([first[0], first.at(-1)], ["w-99", "w-60"]);
  assert.equal(outbox.take(1, 500, false).length, 0);
  assert.equal(outbox.take(1, 500, true)[0]?.workspace, "w-59");
  assert.equal(outbox.take(1, 550, true).length, 0);
  assert.equal(outbox.take(1, 1_600, false).length, 20);
  assert.equal(outbox.take(1, 9_000, true).length, 0);
});
