import assert from "node:assert/strict";
import { test } from "node:test";
import { CompositeDigest } from "./composite_digest.ts";

function part(value: unknown) {
  const received: unknown[] = [];
  return {
    received,
    read: () => value,
    receive: (from: string, digest: unknown) => received.push([from, digest]),
  };
}

test("each part receives the value of the same part at another member", () => {
  const [sender, receiver] = [new CompositeDigest(), new CompositeDigest()];
  sender.add("table", part(7));
  sender.add("unknown here", part(1));
  const table = part(3);
  receiver.add("table", table);
  receiver.add("unknown there", part(2));
  receiver.receive("a", sender.read());
  assert.deepEqual(table.received, [["a", 7]]);
});

test("a digest without named parts is ignored", () => {
  const composite = new CompositeDigest();
  const table = part(3);
  composite.add("table", table);
  for (const digest of [null, undefined, 4, "text", []]) {
    composite.receive("a", digest);
  }
  assert.deepEqual(table.received, []);
});
