import assert from "node:assert/strict";
import { test } from "node:test";
import { SIZES, startSettledFleet } from "./fleet.ts";
import type { Member } from "./fleet.ts";

/** Bound for a change to reach all daemons, in ms; 2 s are required. */
const PROPAGATION_MS = 1_000;
/** Changes before the restore, whose revisions are given out again. */
const LOST_CHANGES = 20;
/** Time in which daemons register again, in ms: some searches. */
const REGISTRATION_MS = 10_000;

function drainingNames({ directory }: Member): readonly string[] {
  return directory.runners.filter(({ draining }) => draining)
    .map(({ name }) => name);
}

// Guards against daemons that ignore a restored store, or the peers that follow it.
for (const shape of SIZES) {
  test(`all of ${shape.daemons} daemons follow a store that was restored`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    const { runners } = fleet;
    for (let count = 1; count <= LOST_CHANGES; count++) {
      fleet.setRunners(
        runners.map((runner) => ({ ...runner, warmUpMs: count })),
      );
      await clock.advance(PROPAGATION_MS / 10);
    }
    await clock.advance(PROPAGATION_MS);
    fleet.restoreRunners(runners);
    await clock.advance(PROPAGATION_MS);
    fleet.setRunners(
      runners.map((runner) => ({ ...runner, draining: runner.name === "r-0" })),
    );
    await clock.advance(PROPAGATION_MS);
    for (const member of fleet.members) {
      assert.deepEqual(drainingNames(member), ["r-0"], member.contact.name);
    }
  });
}

// Guards against daemons that start later and find no others in the store.
test("daemons register again after a restore that lost their entries", async (t) => {
  const { clock, fleet } = await startSettledFleet(t, SIZES[0]!);
  await clock.advance(REGISTRATION_MS);
  const names = fleet.registeredNames;
  assert.ok(names.length > 0);
  fleet.restoreRunners(fleet.runners);
  assert.deepEqual(fleet.registeredNames, []);
  await clock.advance(REGISTRATION_MS);
  assert.deepEqual(fleet.registeredNames, names);
});
