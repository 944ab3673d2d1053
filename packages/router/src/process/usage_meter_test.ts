import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { UsageCount } from "./usage_meter.ts";
import { UsageMeter } from "./usage_meter.ts";

const WINDOW_MS = 5_000;

function meterOf(life: string, clock: { now: number }): UsageMeter {
  return new UsageMeter({
    incarnation: life,
    windowMs: WINDOW_MS,
    now: () => clock.now,
  });
}

test("requests count in the window in which runners began them", () => {
  const clock = { now: 4_999 };
  const meter = meterOf("a", clock);
  meter.countRequest("fitters");
  clock.now = 5_000;
  meter.countRequest("fitters");
  meter.countRequest("office");
  assert.deepEqual([...meter.totals(0)], [["fitters", 1]]);
  assert.deepEqual([...meter.totals(1)], [["fitters", 1], ["office", 1]]);
});

test("counts that come twice, late or in any order add up to the same", () => {
  const began = fc.array(fc.tuple(fc.nat(3), fc.nat(2)), { maxLength: 60 });
  fc.assert(
    fc.property(began, fc.infiniteStream(fc.nat(9)), (requests, luck) => {
      const clock = { now: 0 };
      const lives = ["a", "b", "c", "d"];
      const meters = lives.map((life) => meterOf(life, clock));
      const leader = meterOf("leader", clock);
      const waiting: (readonly UsageCount[])[] = [];
      const chance = () => luck.next().value as number;
      for (const [daemon, workspace] of requests) {
        meters[daemon]!.countRequest(`w-${workspace}`);
        if (chance() < 5) waiting.push(meters[daemon]!.takeUpdates());
        if (chance() < 5) {
          const [news] = waiting.splice(chance() % (waiting.length + 1), 1);
          for (let times = chance() % 3; times >= 0; times--) {
            leader.applyUpdates(news ?? []);
          }
        }
      }
      for (const meter of meters) leader.applyUpdates(meter.snapshot());
      for (const news of waiting) leader.applyUpdates(news);
      const truth = new Map<string, number>();
      for (const [, workspace] of requests) {
        const name = `w-${workspace}`;
        truth.set(name, (truth.get(name) ?? 0) + 1);
      }
      const sorted = (counts: ReadonlyMap<string, number>) =>
        [...counts].sort();
      assert.deepEqual(sorted(leader.totals(0)), sorted(truth));
    }),
  );
});

test("news tell only what has changed, and only what was not known goes on", () => {
  const clock = { now: 0 };
  const meter = meterOf("a", clock);
  meter.countRequest("fitters");
  const news = meter.takeUpdates();
  assert.deepEqual(news, [{ life: "a", window: 0, counts: [["fitters", 1]] }]);
  assert.deepEqual(meter.takeUpdates(), []);
  const other = meterOf("b", clock);
  assert.deepEqual(other.applyUpdates(news), news);
  assert.deepEqual(other.applyUpdates(news), []);
});

test("windows of long ago and far ahead are left out", () => {
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
