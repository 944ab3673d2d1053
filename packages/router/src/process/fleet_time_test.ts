import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetTime } from "./fleet_time.ts";

const EPOCH_MS = 1_700_000_000_000;

/** A host whose time of day is off by some ms. */
function hostWith(aheadMs: number) {
  const clocks = {
    at: 1_000,
    aheadMs,
    wall: () => EPOCH_MS + clocks.at + clocks.aheadMs,
    monotonic: () => clocks.at,
  };
  return { clocks, time: new FleetTime(clocks) };
}

test("a host tells its own time of day while no neighbour tells one", () => {
  const { time } = hostWith(40);
  assert.equal(time.now(), EPOCH_MS + 1_040);
});

test("a host whose clock jumps goes by its neighbours", () => {
  const { clocks, time } = hostWith(0);
  time.recordNeighbourTime("b", EPOCH_MS + 1_003);
  time.recordNeighbourTime("c", EPOCH_MS + 998);
  assert.equal(time.now(), EPOCH_MS + 1_000);
  clocks.aheadMs = -2_400;
  clocks.at += 500;
  const off = time.now() - (EPOCH_MS + 1_500);
  assert.ok(Math.abs(off) < 10, `off by ${off} ms`);
});

test("neighbours that are wrong do not move a host that agrees with others", () => {
  const { time } = hostWith(0);
  time.recordNeighbourTime("b", EPOCH_MS + 3_400);
  time.recordNeighbourTime("c", EPOCH_MS + 1_002);
  time.recordNeighbourTime("d", EPOCH_MS + 990);
  assert.equal(time.now(), EPOCH_MS + 1_000);
});

test("what was told before a host was suspended does not outweigh its clock", () => {
  const { clocks, time } = hostWith(0);
  time.recordNeighbourTime("b", EPOCH_MS + 1_000);
  time.recordNeighbourTime("c", EPOCH_MS + 1_000);
  // The steady clock stood still for four seconds; one neighbour has told since.
  clocks.aheadMs = 4_000;
  time.recordNeighbourTime("b", EPOCH_MS + 5_000);
  assert.equal(time.now(), EPOCH_MS + 5_000);
});
