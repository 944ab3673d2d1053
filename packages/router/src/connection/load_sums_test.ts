import assert from "node:assert/strict";
import { test } from "node:test";
import { RunnerLoads } from "../process/runner_loads.ts";
import type { WaitingEntry } from "../process/runner_queue.ts";
import { NO_LOAD } from "../process/load_totals.ts";
import { LoadSums } from "./load_sums.ts";

function waiting(rank: number, since: number): WaitingEntry {
  return {
    rank,
    arrivedAt: since,
    startBy: since + 500,
    requests: 1,
    unreadTokens: 100,
  };
}

test("nobody is told what came from itself", () => {
  const loads = new RunnerLoads();
  const load = loads.of("r");
  load.place({ unreadTokens: 10, memoryTokens: 20, tight: false }, 0);
  load.setNeighbourLoad("child-1", { ...NO_LOAD, inFlight: 3 }, { now: 0 });
  load.setNeighbourLoad("child-2", { ...NO_LOAD, inFlight: 5 }, { now: 0 });
  const [told] = new LoadSums(loads).all((name) => name !== "child-1");
  assert.equal(told?.inFlight, 6);
});

// In a burst hundreds of requests wait for one runner. One by one they would fill
// the links; told as a few, their order and their number must stay.
test("many that wait are told as a few, ranks apart and none lost", () => {
  const loads = new RunnerLoads();
  const many = Array.from(
    { length: 300 },
    (_, index) => waiting(index % 3, index),
  );
  loads.of("r").setNeighbourLoad("child", NO_LOAD, { now: 0, waiting: many });
  const [told] = new LoadSums(loads).all(() => true);
  assert.ok(told!.waiting.length <= 12);
  for (const rank of [0, 1, 2]) {
    const ofRank = told!.waiting.filter((each) => each.rank === rank);
    const requests = ofRank.reduce((sum, each) => sum + each.requests, 0);
    const tokens = ofRank.reduce((sum, each) => sum + each.unreadTokens, 0);
    assert.equal(requests, 100);
    assert.equal(tokens, 10_000);
  }
  const [first, second] = told!.waiting;
  assert.equal(first!.rank, 0);
  assert.equal(first!.requests, 1);
  assert.ok(first!.ageMs > second!.ageMs);
});

// A daemon with a long history moves to another relay. Its answers of an hour
// would count as if a runner had failed them just now.
test("answers from before a neighbour was known do not count", () => {
  const loads = new RunnerLoads();
  const load = loads.of("r");
  load.setNeighbourLoad("child", { ...NO_LOAD, answered: 900, failed: 300 }, {
    now: 0,
  });
  assert.equal(load.failureRate(0), 0);
  load.setNeighbourLoad("child", { ...NO_LOAD, answered: 910, failed: 300 }, {
    now: 1,
  });
  const [told] = new LoadSums(loads).all(() => true);
  assert.equal(told?.answered, 10);
  load.setNeighbourLoad("child", { ...NO_LOAD, answered: 400, failed: 100 }, {
    now: 2,
  });
  assert.equal(load.total.answered, 10);
});
