import assert from "node:assert/strict";
import { test } from "node:test";
import { noRestrictions } from "../../tests/fixtures.ts";
import { PrefixIndex } from "../process/prefix_index.ts";
import type { Runner } from "../process/runner.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import { ASSUMED_PACE } from "../process/runner_pace.ts";
import { RunnerLoads } from "../process/runner_loads.ts";
import { isOverloaded } from "./admission.ts";
import type { Demand, RunnerFleet } from "./demand.ts";

const SLOTS = 16;

const RUNNER: Runner = {
  id: "r",
  name: "r",
  startedAtMs: undefined,
  service: "llm",
  address: "10.0.0.1",
  port: 1,
  failureDomain: "d",
  slots: SLOTS,
  draining: false,
  warmUpMs: 0,
};

function queueKeyOf(
  rank: number,
  arrivedAt: number,
  startBy = Infinity,
): QueueKey {
  return { rank, arrivedAt, startBy };
}

function demandOf(fields: Partial<Demand> = {}): Demand {
  return {
    prompt: [{ id: "part", tokens: 200 }, { id: "own", tokens: 300 }],
    promptTokens: 500,
    maxOutputTokens: 100,
    expectedOutputTokens: undefined,
    timeoutMs: 3_000,
    targetMs: 1_500,
    gapTargetMs: 400,
    queueKey: queueKeyOf(1, 0),
    awaitedRunner: undefined,
    lessUrgentRanks: 2,
    engine: {
      slots: SLOTS,
      memoryTokens: 500_000,
      eventTokens: 9,
      fetchMsPerToken: undefined,
    },
    ...fields,
  };
}

/**
 * Returns a fleet with one runner that has `inFlight` requests of other
 * daemons.
 */
function fleetWith(inFlight: number): RunnerFleet {
  const loads = new RunnerLoads();
  const share = { ...loads.of("r").own, inFlight };
  loads.of("r").setNeighbourLoad("elsewhere", share, { now: 0 });
  return {
    runners: [RUNNER],
    loads,
    prefixes: new PrefixIndex(),
    restrictions: noRestrictions(),
    pace: ASSUMED_PACE,
    failureDomain: "d",
    now: 0,
  };
}

// Guards against several daemons filling one free slot. An engine of 16 slots
// is full, short requests wait for it at 16 daemons, and a stream ends. If all
// daemons send at once, 15 requests find no slot, and the engine preempts the
// least urgent requests in the middle of their streams.
test("a slot that becomes free admits one of the waiting requests", () => {
  const daemons = 16;
  const keys = Array.from(
    { length: daemons },
    (_, index) => queueKeyOf(1, index),
  );
  const admitted = keys.filter((queueKey) => {
    const fleet = fleetWith(SLOTS - 1);
    const { queue } = fleet.loads.of("r");
    for (const key of keys) {
      queue.add({ ...key, requests: 1, unreadTokens: 300 });
    }
    return !isOverloaded(fleet, demandOf({ queueKey }), RUNNER);
  });
  assert.deepEqual(admitted, [keys[0]]);
});

test("an urgent request is not delayed by less urgent waiting ones", () => {
  const fleet = fleetWith(SLOTS - 1);
  const { queue } = fleet.loads.of("r");
  for (let arrivedAt = 0; arrivedAt < 9; arrivedAt++) {
    queue.add({ ...queueKeyOf(2, arrivedAt), requests: 1, unreadTokens: 300 });
  }
  const queueKey = queueKeyOf(0, 50);
  assert.equal(
    isOverloaded(fleet, demandOf({ queueKey }), RUNNER),
    false,
  );
});

// Guards against a burst in which all requests are late: more wait for a runner
// than it can start in time. In order of arrival, each caller gets its first
// token just after its target. Requests that can still start on time go before
// late ones of the same rank only.
test("a request that can still start on time goes before a late one", () => {
  const fleet = { ...fleetWith(SLOTS - 1), now: 1_000 };
  const { queue } = fleet.loads.of("r");
  const late = queueKeyOf(1, 0, 900);
  const onTime = queueKeyOf(1, 500, 1_400);
  for (const key of [late, onTime]) {
    queue.add({ ...key, requests: 1, unreadTokens: 300 });
  }
  const admits = (queueKey: QueueKey) =>
    !isOverloaded(fleet, demandOf({ queueKey }), RUNNER);
  assert.equal(admits(late), false);
  assert.equal(admits(onTime), true);
  queue.add({ ...queueKeyOf(0, 0, 900), requests: 1, unreadTokens: 300 });
  assert.equal(admits(onTime), false);
});
