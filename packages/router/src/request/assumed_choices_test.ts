import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test } from "node:test";
import { noRestrictions, testEngine } from "../../tests/fixtures.ts";
import { PrefixIndex } from "../process/prefix_index.ts";
import { RunnerLoads } from "../process/runner_loads.ts";
import { ASSUMED_PACE } from "../process/runner_pace.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import { chooseRunner, hasCapacity } from "./placement.ts";

const FLEETS = 24;
const CHOICES = 250;
/**
 * Digest of all choices below, from the version before runners were observed. It
 * changes only if services that are not scheduled adaptively are to be served
 * differently.
 */
const DIGEST = "8b2bc460d6bead8b";

function randomNumbers(seed: number): (below: number) => number {
  let state = seed;
  return (below) => {
    state = state * 48_271 % 2_147_483_647;
    return state % below;
  };
}

function randomFleet(random: (below: number) => number): RunnerFleet {
  const slots = [16, 64][random(2)]!;
  const runners = Array.from({ length: 1 + random(40) }, (_, index) => ({
    ...testEngine(`r-${index}`),
    failureDomain: `d-${random(3)}`,
    slots,
    warmUpMs: random(12) === 0 ? 500 : 0,
  }));
  return {
    runners,
    loads: new RunnerLoads(),
    restrictions: noRestrictions(),
    pace: ASSUMED_PACE,
    prefixes: new PrefixIndex(),
    failureDomain: "d-0",
    now: 0,
  };
}

function randomDemand(random: (below: number) => number, now: number): Demand {
  const rank = random(3);
  const shared = [350, 6_300, 13_300][rank]!;
  const own = 200 + random(4_000);
  return {
    prompt: random(20) === 0 ? [] : [
      { id: `t-${rank}-${random(12)}`, tokens: shared },
      { id: `own-${now}`, tokens: own },
    ],
    promptTokens: shared + own,
    maxOutputTokens: 50 + random(500),
    expectedOutputTokens: random(2) === 0 ? undefined : random(400),
    timeoutMs: 4_000 + random(8_000),
    targetMs: 500,
    gapTargetMs: [120, 200, 500, undefined][random(4)],
    queueKey: { rank, arrivedAt: now, startBy: now + random(900) },
    awaitedRunner: random(5) === 0 ? "r-0" : undefined,
    lessUrgentRanks: 2 - rank,
    engine: random(10) === 0 ? undefined : {
      slots: 64,
      memoryTokens: 540_216,
      eventTokens: 4 + random(3),
      fetchMsPerToken: random(2) === 0 ? undefined : 0.0012,
    },
  };
}

/** Makes choices one after the other, while requests begin, end and fail. */
function choices(seed: number): readonly string[] {
  const random = randomNumbers(seed);
  const fleet = randomFleet(random);
  const ends: (() => void)[] = [];
  let now = 0;
  return Array.from({ length: CHOICES }, () => {
    now += random(40);
    const moment = { ...fleet, now };
    const demand = randomDemand(random, now);
    const excluded = new Set(random(8) === 0 ? ["r-1"] : []);
    const choice = chooseRunner(moment, demand, excluded);
    if (choice === undefined) return "none";
    const { runner, prefillTokens, tight, overloaded } = choice;
    const load = fleet.loads.of(runner.id);
    const fits = demand.engine !== undefined &&
      hasCapacity(moment, demand, runner);
    const placed = {
      unreadTokens: prefillTokens,
      memoryTokens: demand.promptTokens + demand.maxOutputTokens,
      tight,
    };
    if (overloaded && random(2) === 0) {
      const entry = { ...demand.queueKey, requests: 1, unreadTokens: 900 };
      load.queue.add(entry);
      ends.push(() => load.queue.remove(entry));
    } else {
      load.place(placed, now);
      fleet.prefixes.recordSent(runner.id, demand.prompt, now);
      ends.push(() => load.release(placed));
    }
    if (random(3) > 0) load.recordFirstEvent(placed);
    if (random(2) === 0) {
      fleet.prefixes.recordPrefill(runner.id, demand.prompt, now);
    }
    if (random(30) === 0) load.recordFailure(now);
    if (random(4) === 0) load.recordActivity(now);
    if (ends.length > 20 + random(100)) ends.shift()!();
    const { fetchFrom, candidates, reason } = choice;
    return [
      runner.id,
      prefillTokens,
      fetchFrom?.id,
      [tight, overloaded, fits].map(Number).join(""),
      candidates,
      reason,
    ].join(" ");
  });
}

// Guards against changes for adaptive services that also change how the others
// are served.
test("with the assumed pace every choice stays as it is", () => {
  const hash = createHash("sha256");
  for (let seed = 1; seed <= FLEETS; seed += 1) {
    hash.update(choices(seed * 7_919).join("\n"));
  }
  assert.equal(hash.digest("hex").slice(0, 16), DIGEST);
});
