import assert from "node:assert/strict";
import { test } from "node:test";
import { SIZES, startSettledFleet } from "./fleet.ts";
import type { Member } from "./fleet.ts";

/** Bound for an update to reach all daemons, in ms; 2 s are required. */
const PROPAGATION_MS = 1_000;
const RUNNER = "r-1";

function assertDrainingAtAll(members: readonly Member[]): void {
  for (const { directory, contact } of members) {
    const entry = directory.runners.find(({ id }) => id === RUNNER);
    assert.equal(entry?.draining, true, contact.name);
  }
}

// Guards against daemons that each learn of a shutdown from a response of their own.
for (const shape of SIZES) {
  test(`all of ${shape.daemons} daemons learn of a shutdown that one of them was told`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    const [first] = fleet.members;
    fleet.members.at(-1)!.draining.recordStated(RUNNER, performance.now());
    await clock.advance(PROPAGATION_MS);
    assertDrainingAtAll(fleet.members);
    first!.end({ power: true });
    const restarted = fleet.restart(first!);
    await clock.advance(2 * PROPAGATION_MS);
    assertDrainingAtAll([restarted]);
  });
}
