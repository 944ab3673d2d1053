import assert from "node:assert/strict";
import { test } from "node:test";
import { noRestrictions, testEngine } from "../../tests/fixtures.ts";
import { ObservedPace } from "../process/observed_pace.ts";
import { PrefixIndex } from "../process/prefix_index.ts";
import { RunnerLoads } from "../process/runner_loads.ts";
import { ServiceDemand } from "../process/service_demand.ts";
import { candidatesOf } from "./candidate.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import { homesOf } from "./home_runners.ts";
import { RunnerPools } from "./runner_pools.ts";

const IDS = Array.from({ length: 12 }, (_, index) => `r-${index}`);
const PARTS = Array.from({ length: 3_000 }, (_, index) => `p-${index}`);
/** Speeds of engines of which each third takes 2.4 times as long. */
const SPEEDS = new Map(
  IDS.map((id, index) => [id, index % 3 === 2 ? 0.64 : 1.56]),
);

function fleetOf(): RunnerFleet & { readonly demand: ServiceDemand } {
  return {
    runners: IDS.map(testEngine),
    loads: new RunnerLoads(),
    restrictions: noRestrictions(),
    pace: new ObservedPace(),
    prefixes: new PrefixIndex(),
    shortestGapMs: Infinity,
    demand: new ServiceDemand(),
    failureDomain: "d",
    now: 0,
  };
}

function homes(
  fleet: RunnerFleet,
  part: string,
  speedOf: ReadonlyMap<string, number> = SPEEDS,
): readonly string[] {
  const pools = new RunnerPools([...speedOf.keys()], { reserved: [], speedOf });
  const demand: Pick<Demand, "prompt" | "engine" | "gapTargetMs"> = {
    prompt: [{ id: part, tokens: 13_300 }],
    engine: undefined,
    gapTargetMs: undefined,
  };
  const runners = fleet.runners.filter(({ name }) => speedOf.has(name));
  const candidates = candidatesOf(fleet, demand as Demand, { runners, pools });
  const tight = false;
  return [...homesOf(fleet, part, { candidates, pools, tight }).names];
}

test("runners are home for prompts by their pace, and few prompts move", () => {
  const fleet = fleetOf();
  const before = PARTS.map((part) => homes(fleet, part)[0]!);
  const shareOf = (id: string) =>
    before.filter((home) => home === id).length / PARTS.length;
  const total = [...SPEEDS.values()].reduce((sum, speed) => sum + speed, 0);
  for (const [id, speed] of SPEEDS) {
    const relative = shareOf(id) / (speed / total);
    assert.ok(relative > 0.8 && relative < 1.25, `${id}: ${relative}`);
  }
  const fewer = new Map([...SPEEDS].slice(1));
  const after = PARTS.map((part) => homes(fleet, part, fewer)[0]!);
  assert.ok(
    after.every((home, index) =>
      home === before[index] || before[index] === IDS[0]
    ),
  );
});

// Guards against a runner that gets further prompts while others have room.
test("a runner with more than its share of the work is home for no prompt", () => {
  const fleet = fleetOf();
  const place = (id: string, unreadTokens: number) =>
    fleet.loads.of(id).place(
      { unreadTokens, memoryTokens: 0, tight: false },
      0,
    );
  for (const id of IDS) place(id, 3_000);
  const [home] = homes(fleet, "p-1");
  place(home!, 6_000);
  const [next] = homes(fleet, "p-1");
  assert.notEqual(next, home);
  assert.equal(PARTS.some((part) => homes(fleet, part)[0] === home), false);
});

test("the homes of a hot prompt include the one that it had before", () => {
  const fleet = fleetOf();
  const before = homes(fleet, "hot");
  for (let request = 0; request < 50; request += 1) {
    fleet.demand.prompts.record("hot", 3_720, 0);
    fleet.demand.prompts.record(`other-${request}`, 3_720, 0);
  }
  const after = homes(fleet, "hot");
  assert.ok(after.length >= 4, `${after.length} homes`);
  assert.equal(after[0], before[0]);
});
