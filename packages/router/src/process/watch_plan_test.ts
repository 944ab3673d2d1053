import assert from "node:assert/strict";
import { test } from "node:test";
import { isWatcher, watchWaitMs } from "./watch_plan.ts";
import type { WatchCandidate } from "./watch_plan.ts";

function fleetOf(daemons: number): readonly WatchCandidate[] {
  return Array.from({ length: daemons }, (_, index) => ({
    name: `host-${index}`,
    failureDomain: `d-${index % 3}`,
    linkMbps: 10,
  }));
}

// Every watch counts as a call, and the store's rates grow more slowly than the
// fleet. Calls must follow failure domains, not daemons.
test("the calls of watches do not grow with the fleet", () => {
  const rateOf = (daemons: number) => {
    const fleet = fleetOf(daemons);
    const watching = fleet.filter((each) => isWatcher(each, fleet)).length;
    return 1_000 * watching / watchWaitMs(fleet, 0.5);
  };
  assert.ok(Math.abs(rateOf(65) - rateOf(380)) < 0.1);
  assert.ok(rateOf(380) < 2);
});

test("a daemon alone watches, and for a short time", () => {
  const [alone] = fleetOf(1);
  assert.equal(isWatcher(alone!, [alone!]), true);
  assert.ok(watchWaitMs([alone!], 0.99) <= 1_500);
});
