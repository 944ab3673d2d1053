import assert from "node:assert/strict";
import { test } from "node:test";
import { Rendezvous } from "@umbermast/coordination/rendezvous";
import { SIZES, startSettledFleet } from "./fleet.ts";
import type { Member } from "./fleet.ts";

const RUNNERS = 200;

/** Counts for each runner the daemons that would survey it. */
function surveyorsOf(members: readonly Member[]): readonly number[] {
  const surveyors = Array.from({ length: RUNNERS }, () => 0);
  for (const { fleetSync } of members) {
    const { own, names } = fleetSync.view;
    const rendezvous = new Rendezvous(names);
    surveyors.forEach((_, index) => {
      const first = rendezvous.first(`r-${index}`, () => true);
      if (first === own) surveyors[index]! += 1;
    });
  }
  return surveyors;
}

// Guards against a runner that many daemons query for the contents of its KV cache.
for (const shape of [...SIZES, { daemons: 40, domains: 1 }]) {
  test(`exactly one of ${shape.daemons} daemons surveys each runner`, async (t) => {
    const { fleet } = await startSettledFleet(t, shape);
    assert.deepEqual(new Set(surveyorsOf(fleet.members)), new Set([1]));
  });
}
