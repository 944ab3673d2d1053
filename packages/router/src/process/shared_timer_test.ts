import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { SharedTimer } from "./shared_timer.ts";

// In a burst a daemon holds dozens of requests that look for room. Woken one by
// one, it spends its processor on waking, and answers come late.
test("all that wait are woken by one timer", async (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  const timers = t.mock.method(globalThis, "setTimeout");
  const pulse = new SharedTimer(20);
  const woken: number[] = [];
  for (let index = 0; index < 25; index++) {
    void pulse.next().then(() => woken.push(index));
  }
  mock.timers.tick(19);
  await Promise.resolve();
  assert.equal(woken.length, 0);
  mock.timers.tick(1);
  await Promise.resolve();
  assert.equal(woken.length, 25);
  void pulse.next();
  assert.equal(timers.mock.callCount(), 2);
});
