import assert from "node:assert/strict";
import { test } from "node:test";
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import { SIZES, startSettledFleet } from "./fleet.ts";
import type { Member } from "./fleet.ts";

const RUNNERS = 200;

/** How many daemons take each runner for theirs to ask. */
function askersOf(members: readonly Member[]): readonly number[] {
  const askers = Array.from({ length: RUNNERS }, () => 0);
  for (const { fleetSync: neighbourhood } of members) {
    const { own, names } = neighbourhood.sharers;
    const daemons = new Rendezvous(names);
    askers.forEach((_, index) => {
      const first = daemons.first(`r-${index}`, () => true);
      if (first === own) askers[index]! += 1;
    });
  }
  return askers;
}

// Guards against runners that each of many daemons asks what they hold.
for (const shape of [...SIZES, { daemons: 40, domains: 1 }]) {
  test(`of ${shape.daemons} daemons one asks a runner what it holds`, async (t) => {
    const { fleet } = await startSettledFleet(t, shape);
    assert.deepEqual(new Set(askersOf(fleet.members)), new Set([1]));
  });
}
