import assert from "node:assert/strict";
import { test } from "node:test";
import { FAULT_KINDS, schedule } from "./faults_schedule.ts";

test("a schedule holds a calm slot, each fault alone, and pairs while time is left", () => {
  const slots = schedule({ seed: 1, seconds: 300, scale: 1 });
  const names = slots.map(({ name }) => name);
  assert.deepEqual(names.slice(0, FAULT_KINDS.length + 1), [
    "none",
    ...FAULT_KINDS,
  ]);
  assert.ok(names.length > FAULT_KINDS.length + 1);
  assert.equal(new Set(names).size, names.length);
  const total = slots.reduce((sum, { seconds }) => sum + seconds, 0);
  assert.ok(total <= 300);
});

test("a schedule without time for pairs still holds each fault", () => {
  const slots = schedule({ seed: 1, seconds: 0, scale: 0.1 });
  assert.equal(slots.length, FAULT_KINDS.length + 1);
});

test("the same seed gives the same schedule, another seed another", () => {
  const of = (seed: number) =>
    schedule({ seed, seconds: 600, scale: 1 }).map(({ name }) => name);
  assert.deepEqual(of(1), of(1));
  assert.notDeepEqual(of(1), of(2));
});
