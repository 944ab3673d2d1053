import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { SharedTimer } from "./shared_timer.ts";

// Guards against one timer per waiting request. In a burst, dozens of requests wait
// for capacity, and waking them one by one uses the processor and delays responses.
test("all waits are resolved by one timer", async (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  const timers = t.mock.method(globalThis, "setTimeout");
  const timer = new SharedTimer(20);
  const woken: number[] = [];
  for (let index = 0; index < 25; index++) {
    void timer.next().then(() => woken.push(index));
  }
  mock.timers.tick(19);
  await Promise.resolve();
  assert.equal(woken.length, 0);
  mock.timers.tick(1);
  await Promise.resolve();
  assert.equal(woken.length, 25);
  void timer.next();
  assert.equal(timers.mock.callCount(), 2);
});
