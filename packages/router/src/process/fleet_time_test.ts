import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetTime } from "./fleet_time.ts";

const EPOCH_MS = 1_700_000_000_000;

/** A host whose wall clock is ahead by `aheadMs`. */
function hostWith(aheadMs: number) {
  const clocks = {
    at: 1_000,
    aheadMs,
    wall: () => EPOCH_MS + clocks.at + clocks.aheadMs,
    monotonic: () => clocks.at,
  };
  return { clocks, time: new FleetTime(clocks) };
}

test("a host uses its own clock while no neighbour has sent a time", () => {
  const { time } = hostWith(40);
  assert.equal(time.now(), EPOCH_MS + 1_040);
});

test("a host whose clock jumps uses the time of its neighbours", () => {
  const { clocks, time } = hostWith(0);
  time.recordNeighbourTime("b", EPOCH_MS + 1_003);
  time.recordNeighbourTime("c", EPOCH_MS + 998);
  assert.equal(time.now(), EPOCH_MS + 1_000);
  clocks.aheadMs = -2_400;
  clocks.at += 500;
  const off = time.now() - (EPOCH_MS + 1_500);
  assert.ok(Math.abs(off) < 10, `off by ${off} ms`);
});

test("a neighbour with a wrong clock does not change the time of other hosts", () => {
  const { time } = hostWith(0);
  time.recordNeighbourTime("b", EPOCH_MS + 3_400);
  time.recordNeighbourTime("c", EPOCH_MS + 1_002);
  time.recordNeighbourTime("d", EPOCH_MS + 990);
  assert.equal(time.now(), EPOCH_MS + 1_000);
});

test("times sent before a host was suspended do not override its clock", () => {
  const { clocks, time } = hostWith(0);
  time.recordNeighbourTime("b", EPOCH_MS + 1_000);
  time.recordNeighbourTime("c", EPOCH_MS + 1_000);
  // The monotonic clock stood still for four seconds; since then one neighbour has
  // sent its time.
  clocks.aheadMs = 4_000;
  time.recordNeighbourTime("b", EPOCH_MS + 5_000);
  assert.equal(time.now(), EPOCH_MS + 5_000);
});
