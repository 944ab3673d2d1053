import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { TrackedSet } from "./tracked_set.ts";

test("whenEmpty completes immediately for a set without items", async () => {
  await Effect.runPromise(new TrackedSet<string>().whenEmpty);
});

test("whenEmpty completes once when the last item is deleted", () => {
  const set = new TrackedSet<string>();
  let empty = 0;
  set.add("a");
  set.add("b");
  Effect.runFork(Effect.andThen(set.whenEmpty, Effect.sync(() => empty += 1)));
  set.delete("a");
  assert.deepEqual([empty, set.size, [...set]], [0, 1, ["b"]]);
  set.delete("b");
  set.add("c");
  set.delete("c");
  assert.equal(empty, 1);
});
