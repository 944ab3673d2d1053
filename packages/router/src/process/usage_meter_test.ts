import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import type { UsageCount } from "./usage_meter.ts";
import { UsageMeter } from "./usage_meter.ts";

const WINDOW_MS = 5_000;

function meterOf(incarnation: string, clock: { now: number }): UsageMeter {
  return new UsageMeter({
    incarnation,
    windowMs: WINDOW_MS,
    now: () => clock.now,
    log: SILENT_LOG,
  });
}

test("a request counts in the window in which a runner started it", () => {
  const clock = { now: 4_999 };
  const meter = meterOf("a", clock);
  meter.countRequest("fitters");
  clock.now = 5_000;
  meter.countRequest("fitters");
  meter.countRequest("office");
  assert.deepEqual([...meter.totals(0)], [["fitters", 1]]);
  assert.deepEqual([...meter.totals(1)], [["fitters", 1], ["office", 1]]);
});

test("duplicated, late and reordered updates give the same totals", () => {
  const started = fc.array(fc.tuple(fc.nat(3), fc.nat(2)), { maxLength: 60 });
  fc.assert(
    fc.property(started, fc.infiniteStream(fc.nat(9)), (requests, random) => {
      const clock = { now: 0 };
      const incarnations = ["a", "b", "c", "d"];
      const meters = incarnations.map((each) => meterOf(each, clock));
      const leader = meterOf("leader", clock);
      const inTransit: (readonly UsageCount[])[] = [];
      const chance = () => random.next().value as number;
      for (const [daemon, workspace] of requests) {
        meters[daemon]!.countRequest(`w-${workspace}`);
        if (chance() < 5) inTransit.push(meters[daemon]!.takeUpdates());
        if (chance() < 5) {
          const [update] = inTransit.splice(
            chance() % (inTransit.length + 1),
            1,
          );
          for (let times = chance() % 3; times >= 0; times--) {
            leader.applyUpdates(update ?? []);
          }
        }
      }
      for (const meter of meters) leader.applyUpdates(meter.snapshot());
      for (const update of inTransit) leader.applyUpdates(update);
      const expected = new Map<string, number>();
      for (const [, workspace] of requests) {
        const name = `w-${workspace}`;
        expected.set(name, (expected.get(name) ?? 0) + 1);
      }
      const sorted = (counts: ReadonlyMap<string, number>) =>
        [...counts].sort();
      assert.deepEqual(sorted(leader.totals(0)), sorted(expected));
    }),
  );
});

test("updates hold only changes, and applying them returns only new counts", () => {
  const clock = { now: 0 };
  const meter = meterOf("a", clock);
  meter.countRequest("fitters");
  const updates = meter.takeUpdates();
  assert.deepEqual(updates, [
    { incarnation: "a", window: 0, counts: [["fitters", 1]] },
  ]);
  assert.deepEqual(meter.takeUpdates(), []);
  const other = meterOf("b", clock);
  assert.deepEqual(other.applyUpdates(updates), updates);
  assert.deepEqual(other.applyUpdates(updates), []);
});

test("windows too far in the past or the future are ignored", () => {
  const clock = { now: 100 * WINDOW_MS };
  const meter = meterOf("a", clock);
  for (const window of [1, 90, 102, 1_000_000]) {
    meter.applyUpdates([{
      incarnation: "b",
      window,
      counts: [["fitters", 1]],
    }]);
  }
  assert.deepEqual(meter.snapshot(), []);
});

// Guards against a request that is counted in a window whose end was announced.
test("a daemon counts nothing in a window that it has ended", () => {
  const clock = { now: 5_001 };
  const meter = meterOf("a", clock);
  const end = { incarnation: "a", window: 0, left: false };
  assert.deepEqual(meter.takeEnds(), [end]);
  assert.deepEqual(meter.takeEnds(), []);
  clock.now = 4_990;
  meter.countRequest("fitters");
  assert.equal(meter.totals(0).size, 0);
  assert.equal(meter.totals(1).get("fitters"), 1);
  meter.leave();
  assert.deepEqual(meter.takeEnds(), [{ ...end, left: true }]);
});

test("invalid ends are left out, and logged once in a window", () => {
  const clock = { now: 50_000 };
  const lines: unknown[] = [];
  const meter = new UsageMeter({
    incarnation: "a",
    windowMs: WINDOW_MS,
    now: () => clock.now,
    log: { event: (_, fields) => lines.push(fields) },
  });
  const endOf = (window: number) => ({
    incarnation: `b${window}`,
    window,
    left: false,
  });
  const ends = [NaN, -7, 2.5, 1e12, 9].map(endOf);
  assert.deepEqual(meter.applyEnds(ends), [endOf(9)]);
  assert.deepEqual(meter.applyEnds(ends), []);
  assert.deepEqual(lines, [{ ends: 4 }]);
});
