import assert from "node:assert/strict";
import { test } from "node:test";
import { RunnerLoads } from "./runner_loads.ts";
import type { LoadTotals } from "./load_totals.ts";

const REQUEST = { unreadTokens: 100, memoryTokens: 120, tight: true };
const LOAD: LoadTotals = {
  inFlight: 2,
  unreadTokens: 50,
  workTokens: 70,
  memoryTokens: 90,
  tightStreams: 1,
  answered: 0,
  failed: 0,
};

test("load falls after the prefill, then when the request ends", () => {
  const load = new RunnerLoads().of("r-1");
  load.place(REQUEST, 0);
  assert.deepEqual(load.total, {
    inFlight: 1,
    unreadTokens: 100,
    workTokens: 100,
    memoryTokens: 120,
    tightStreams: 1,
    answered: 0,
    failed: 0,
  });
  load.recordFirstEvent(REQUEST);
  assert.equal(load.total.unreadTokens, 0);
  assert.equal(load.total.workTokens, 100);
  load.release(REQUEST);
  load.release(REQUEST);
  assert.deepEqual(Object.values(load.total), [0, 0, 0, 0, 0, 0, 0]);
});

// A daemon dies with requests at a runner. If they were counted forever, other
// daemons would avoid a runner that is idle.
test("the load of a lost daemon is removed", () => {
  const loads = new RunnerLoads();
  loads.of("r-1").setNeighbourLoad("host-2", LOAD, { now: 0 });
  loads.of("r-1").setNeighbourLoad("host-2", { ...LOAD, inFlight: 3 }, {
    now: 0,
  });
  assert.equal(loads.of("r-1").total.inFlight, 3);
  loads.removeNeighbour("host-2");
  assert.equal(loads.of("r-1").total.inFlight, 0);
});

// A runner stops responding. Without ejection, each request sent to it would
// wait for a time-out; with a permanent one, it would stay idle after its
// recovery.
test("two failures eject a runner, longer each time, until a success", () => {
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

// A runner stops responding while its kept-alive connections stay open.
// Requests sent on them hang until their time-outs, and more would be sent
// after them.
test("a runner that is silent on all requests in flight is ejected", () => {
  const load = new RunnerLoads().of("r-1");
  load.place(REQUEST, 5_000);
  assert.equal(load.isEjected(5_500), false);
  assert.equal(load.isEjected(6_000), true);
  load.recordActivity(6_100);
  assert.equal(load.isEjected(6_200), false);
  load.release(REQUEST);
  assert.equal(load.isEjected(60_000), false);
  load.place(REQUEST, 60_000);
  assert.equal(load.isEjected(60_100), false);
});

// In a burst, a daemon has one request at a runner that first prefills a second
// of prompts for other daemons. If the silence ejected the runner, requests
// that share its cached prompts would go elsewhere, where they are prefilled
// again.
test("a runner with a second of prefill ahead is not ejected for silence", () => {
  const load = new RunnerLoads().of("r-1");
  const others = { ...LOAD, unreadTokens: 50_000 };
  load.setNeighbourLoad("host-2", others, { now: 0 });
  load.place(REQUEST, 0);
  assert.equal(load.isEjected(1_500, 1_000), false);
  assert.equal(load.isEjected(2_500, 1_000), true);
  load.setNeighbourLoad("host-2", { ...others, unreadTokens: 40_000 }, {
    now: 2_500,
  });
  assert.equal(
    load.isEjected(2_500, 800),
    false,
    "one of the prompts is prefilled",
  );
});

// Once a stream has begun, an event is due every 250 ms, however many prompts
// the runner has to prefill.
test("silence within a stream ejects a runner despite queued prefill", () => {
  const load = new RunnerLoads().of("r-1");
  load.setNeighbourLoad("host-2", { ...LOAD, unreadTokens: 50_000 }, {
    now: 0,
  });
  load.place(REQUEST, 0);
  load.recordFirstEvent(REQUEST);
  load.recordActivity(100);
  assert.equal(load.isEjected(900, 1_000), false);
  assert.equal(load.isEjected(1_100, 1_000), true);
});

// One of three runners begins to fail, and each daemon has a response from it
// only every two seconds. Alone, each daemon would send it several requests
// before its failure rate shows it.
test("failures reported by other daemons count from the second report", () => {
  const load = new RunnerLoads().of("r-1");
  load.setNeighbourLoad("host-2", { ...LOAD, answered: 900, failed: 300 }, {
    now: 0,
  });
  assert.equal(load.failureRate(0), 0, "these may be hours old");
  load.setNeighbourLoad("host-2", { ...LOAD, answered: 908, failed: 308 }, {
    now: 9,
  });
  assert.ok(load.failureRate(9) > 0.5);
  assert.ok(load.failureRate(20_000) < 0.05, "failures decay");
});
