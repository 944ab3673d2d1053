import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as iteration } from "node:timers/promises";
import { TurnQueue } from "./turn_queue.ts";

function work(ms: number): void {
  const endAt = performance.now() + ms;
  while (performance.now() < endAt);
}

// Guards against many connections that keep the event loop from all else.
test("turns leave the event loop to others, and run in order", async () => {
  const queue = new TurnQueue();
  const done: number[] = [];
  for (let turn = 0; turn < 20; turn++) {
    queue.add(() => {
      work(2);
      done.push(turn);
    });
  }
  await iteration();
  await iteration();
  assert.ok(done.length < 20, `${done.length}`);
  while (done.length < 20) await iteration();
  assert.deepEqual(done, Array.from({ length: 20 }, (_, turn) => turn));
});

test("a turn that is added by a turn runs after the others", async () => {
  const queue = new TurnQueue();
  const done: string[] = [];
  queue.add(() => {
    done.push("first");
    queue.add(() => done.push("again"));
  });
  queue.add(() => done.push("second"));
  while (done.length < 3) await iteration();
  assert.deepEqual(done, ["first", "second", "again"]);
});
