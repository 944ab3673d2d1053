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

test("each part gets what the same part of another member reads", () => {
  const [sender, receiver] = [new CompositeDigest(), new CompositeDigest()];
  sender.add("table", part(7));
  sender.add("unknown here", part(1));
  const table = part(3);
  receiver.add("table", table);
  receiver.add("unknown there", part(2));
  receiver.receive("a", sender.read());
  assert.deepEqual(table.received, [["a", 7]]);
});

test("a digest that is no board is left alone", () => {
  const board = new CompositeDigest();
  const table = part(3);
  board.add("table", table);
  for (const digest of [null, undefined, 4, "text", []]) {
    board.receive("a", digest);
  }
  assert.deepEqual(table.received, []);
});
