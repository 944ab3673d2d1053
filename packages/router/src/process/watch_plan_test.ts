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

// Guards against exceeding the store's rate limits. Every watch is a call, and the
// limits grow more slowly than the fleet, so that the number of calls must depend
// on the number of failure domains, not of daemons.
test("the rate of watch calls does not grow with the fleet", () => {
  const rateOf = (daemons: number) => {
    const fleet = fleetOf(daemons);
    const watching = fleet.filter((daemon) => isWatcher(daemon, fleet)).length;
    return 1_000 * watching / watchWaitMs(fleet, 0.5);
  };
  assert.ok(Math.abs(rateOf(65) - rateOf(380)) < 0.1);
  assert.ok(rateOf(380) < 2);
});

test("a single daemon watches, with the minimum wait", () => {
  const [alone] = fleetOf(1);
  assert.equal(isWatcher(alone!, [alone!]), true);
  assert.ok(watchWaitMs([alone!], 0.99) <= 1_500);
});
