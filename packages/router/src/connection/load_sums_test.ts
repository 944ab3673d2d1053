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

test("a neighbour is not sent the load that it reported itself", () => {
  const loads = new RunnerLoads();
  const load = loads.of("r");
  load.place({ unreadTokens: 10, memoryTokens: 20, tight: false }, 0);
  load.setNeighbourLoad("child-1", { ...NO_LOAD, inFlight: 3 }, { now: 0 });
  load.setNeighbourLoad("child-2", { ...NO_LOAD, inFlight: 5 }, { now: 0 });
  const [sent] = new LoadSums(loads).snapshot((name) => name !== "child-1");
  assert.equal(sent?.inFlight, 6);
});

// In a burst hundreds of requests wait for one runner. An entry for each would
// fill the links; the merged entries must keep the order and the number of the
// requests.
test("a long queue is sent in few entries, by rank and without loss", () => {
  const loads = new RunnerLoads();
  const many = Array.from(
    { length: 300 },
    (_, index) => waiting(index % 3, index),
  );
  loads.of("r").setNeighbourLoad("child", NO_LOAD, { now: 0, waiting: many });
  const [sent] = new LoadSums(loads).snapshot(() => true);
  assert.ok(sent!.waiting.length <= 12);
  for (const rank of [0, 1, 2]) {
    const ofRank = sent!.waiting.filter((each) => each.rank === rank);
    const requests = ofRank.reduce((sum, each) => sum + each.requests, 0);
    const tokens = ofRank.reduce((sum, each) => sum + each.unreadTokens, 0);
    assert.equal(requests, 100);
    assert.equal(tokens, 10_000);
  }
  const [first, second] = sent!.waiting;
  assert.equal(first!.rank, 0);
  assert.equal(first!.requests, 1);
  assert.ok(first!.ageMs > second!.ageMs);
});

// Guards against a flood that hides others: in one entry with 200 requests of a
// workspace, the single request of another would count as one of theirs.
test("merged entries keep a request of a small workspace ahead of a flood", () => {
  const loads = new RunnerLoads();
  const onTime = (rank: number, since: number, share: number) => ({
    ...waiting(rank, since),
    startBy: Infinity,
    share,
  });
  const urgent = Array.from(
    { length: 4 },
    (_, index) => onTime(0, index, 500),
  );
  const flood = Array.from(
    { length: 200 },
    (_, index) => onTime(1, index, 3_000 + index),
  );
  const late = { ...waiting(1, 0), startBy: -Infinity, share: 3_000 };
  const small = onTime(1, 300, 100);
  loads.of("r").setNeighbourLoad("child", NO_LOAD, {
    now: 0,
    waiting: [...flood, late, small, ...urgent],
  });
  const [sent] = new LoadSums(loads).snapshot(() => true);
  const ofRank = sent!.waiting.filter(({ rank }) => rank === 1);
  assert.deepEqual(
    ofRank.map(({ requests, share }) => [requests, share]),
    [[1, 100], [200, 3_100], [1, 3_000]],
  );
});

// A daemon with a long history moves to another relay. Without a baseline its
// responses of an hour would count as if the runner had failed them just now.
test("responses from before the first report of a neighbour do not count", () => {
  const loads = new RunnerLoads();
  const load = loads.of("r");
  load.setNeighbourLoad("child", { ...NO_LOAD, answered: 900, failed: 300 }, {
    now: 0,
  });
  assert.equal(load.failureRate(0), 0);
  load.setNeighbourLoad("child", { ...NO_LOAD, answered: 910, failed: 300 }, {
    now: 1,
  });
  const [sent] = new LoadSums(loads).snapshot(() => true);
  assert.equal(sent?.answered, 10);
  load.setNeighbourLoad("child", { ...NO_LOAD, answered: 400, failed: 100 }, {
    now: 2,
  });
  assert.equal(load.total.answered, 10);
});
