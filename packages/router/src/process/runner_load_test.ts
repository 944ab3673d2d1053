import assert from "node:assert/strict";
import { test } from "node:test";
import { RunnerLoads } from "./runner_loads.ts";
import type { LoadTotals } from "./load_totals.ts";

const PLACED = { unreadTokens: 100, memoryTokens: 120, tight: true };
const SHARE: LoadTotals = {
  inFlight: 2,
  unreadTokens: 50,
  workTokens: 70,
  memoryTokens: 90,
  tight: 1,
  answered: 0,
  failed: 0,
};

test("load ends in steps: the prompt is read, then the request is over", () => {
  const load = new RunnerLoads().of("r-1");
  load.place(PLACED, 0);
  assert.deepEqual(load.total, {
    inFlight: 1,
    unreadTokens: 100,
    workTokens: 100,
    memoryTokens: 120,
    tight: 1,
    answered: 0,
    failed: 0,
  });
  load.recordFirstEvent(PLACED);
  assert.equal(load.total.unreadTokens, 0);
  assert.equal(load.total.workTokens, 100);
  load.release(PLACED);
  load.release(PLACED);
  assert.deepEqual(Object.values(load.total), [0, 0, 0, 0, 0, 0, 0]);
});

// A daemon dies with requests at a runner. Counted for ever, they would keep
// all others away from a runner that is idle.
test("the load of a daemon that is lost is forgotten", () => {
  const loads = new RunnerLoads();
  loads.of("r-1").setNeighbourLoad("host-2", SHARE, { now: 0 });
  loads.of("r-1").setNeighbourLoad("host-2", { ...SHARE, inFlight: 3 }, {
    now: 0,
  });
  assert.equal(loads.of("r-1").total.inFlight, 3);
  loads.removeNeighbour("host-2");
  assert.equal(loads.of("r-1").total.inFlight, 0);
});

// A runner goes dark. Without a pause, each request of its share would wait for
// a timeout; with one that never ended, it would stay empty after its return.
test("a runner that fails twice rests, longer each time, and comes back", () => {
  const load = new RunnerLoads().of("r-1");
  load.recordFailure(0);
  assert.equal(load.isEjected(1), false);
  load.recordFailure(0);
  assert.equal(load.isEjected(400), true);
  assert.equal(load.isEjected(600), false);
  load.recordFailure(600);
  assert.equal(load.isEjected(1_500), true);
  load.recordSuccess();
  assert.equal(load.isEjected(1_500), false);
});

// A runner goes dark with kept connections open: requests that are sent on them
// hang until their timeouts, and more would follow them there.
test("a runner that says nothing on all it has gets no more", () => {
  const load = new RunnerLoads().of("r-1");
  load.place(PLACED, 5_000);
  assert.equal(load.isEjected(5_500), false);
  assert.equal(load.isEjected(6_000), true);
  load.recordActivity(6_100);
  assert.equal(load.isEjected(6_200), false);
  load.release(PLACED);
  assert.equal(load.isEjected(60_000), false);
  load.place(PLACED, 60_000);
  assert.equal(load.isEjected(60_100), false);
});

// In a burst callers wait for prompts that were read before and are read again.
// A daemon has one request at a runner that first reads a second of prompts for
// other daemons. It takes the silence for a dark runner, leaves it out, and
// sends those who share its prompts elsewhere.
test("a runner that reads a second of prompts first is not taken for dark", () => {
  const load = new RunnerLoads().of("r-1");
  const others = { ...SHARE, unreadTokens: 50_000 };
  load.setNeighbourLoad("host-2", others, { now: 0 });
  load.place(PLACED, 0);
  assert.equal(load.isEjected(1_500), false);
  assert.equal(load.isEjected(2_500), true);
  load.setNeighbourLoad("host-2", { ...others, unreadTokens: 40_000 }, {
    now: 2_500,
  });
  assert.equal(load.isEjected(2_500), false, "it has read one of the prompts");
});

// The same runner has begun to answer: now it owes an event each 250 ms, however
// much it has to read beside.
test("a runner that falls silent in a stream is dark, whatever it has to read", () => {
  const load = new RunnerLoads().of("r-1");
  load.setNeighbourLoad("host-2", { ...SHARE, unreadTokens: 50_000 }, {
    now: 0,
  });
  load.place(PLACED, 0);
  load.recordFirstEvent(PLACED);
  load.recordActivity(100);
  assert.equal(load.isEjected(900), false);
  assert.equal(load.isEjected(1_100), true);
});

// One of three runners begins to fail. Each daemon has an answer of it every two
// seconds; alone, each would send it several requests to find out.
test("failures that other daemons had count, from when they are known", () => {
  const load = new RunnerLoads().of("r-1");
  load.setNeighbourLoad("host-2", { ...SHARE, answered: 900, failed: 300 }, {
    now: 0,
  });
  assert.equal(load.failureRate(0), 0, "those may be from hours ago");
  load.setNeighbourLoad("host-2", { ...SHARE, answered: 908, failed: 308 }, {
    now: 9,
  });
  assert.ok(load.failureRate(9) > 0.5);
  assert.ok(load.failureRate(20_000) < 0.05, "and they are forgotten");
});
