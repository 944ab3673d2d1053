import assert from "node:assert/strict";
import { test } from "node:test";
import { PlainCapacity } from "./plain_capacity.ts";

/** Samples a runner that completes requests at a rate, at given intervals. */
function completionsIn100Ms(perMs: number, intervalMs: number): number {
  const capacity = new PlainCapacity();
  let last = 0;
  for (let now = 0; now <= 3_000; now += intervalMs) {
    const sample = { completed: Math.floor(perMs * now), now };
    last = capacity.completionsWithin("r", 100, sample);
  }
  return last;
}

// Guards against a rate that depends on how often it is needed.
test("the rate of completions does not depend on how often it is sampled", () => {
  for (const intervalMs of [5, 100, 1_000]) {
    const count = completionsIn100Ms(0.05, intervalMs);
    assert.ok(Math.abs(count - 5) < 0.7, `${count} at ${intervalMs} ms`);
  }
});

// Guards against a rate below zero, or far too high, when links break and heal.
test("a count that falls with a lost neighbour does not change the rate", () => {
  const capacity = new PlainCapacity();
  capacity.completionsWithin("r", 100, { completed: 900, now: 0 });
  const rate = (completed: number, now: number) =>
    capacity.completionsWithin("r", 100, { completed, now });
  assert.equal(rate(300, 10), 0);
  assert.ok(rate(301, 20) <= 1);
});

// Guards against a queue whose length is judged by a runner's former speed.
test("the time of a response follows a runner that turns slow", () => {
  const capacity = new PlainCapacity();
  const record = (runner: string, ms: number, now: number) =>
    capacity.times.record(runner, { ms, now });
  assert.equal(capacity.responseMs("r", 2, 0), undefined);
  for (let now = 0; now < 2_000; now += 50) {
    record("r", 40, now);
    record("s", 40, now);
  }
  for (let now = 2_000; now < 2_600; now += 50) record("r", 100, now);
  assert.ok(capacity.responseMs("r", 2, 2_600)! > 65);
  assert.ok(capacity.responseMs("s", 2, 2_600)! < 60);
});

// Guards against waits at full runners that pass for their work.
test("completions show how long a full runner works on a request", () => {
  const capacity = new PlainCapacity();
  for (let now = 0; now < 2_000; now += 10) {
    capacity.times.record("r", { ms: 80, now });
    const completed = Math.floor(2 * now / 40);
    capacity.completionsWithin("r", 90, { completed, now });
  }
  const ms = capacity.responseMs("r", 2, 2_000)!;
  assert.ok(ms > 34 && ms < 46, `${ms} ms`);
});
