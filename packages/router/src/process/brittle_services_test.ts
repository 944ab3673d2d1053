import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { BrittleServices } from "./brittle_services.ts";

const SLOTS = 4;

/** Brittle services before one runner with some requests. */
function createServices(state: { requests: number }): BrittleServices {
  return new BrittleServices(SILENT_LOG, {
    room: () => ({
      service: "service",
      slots: SLOTS,
      requests: () => state.requests,
    }),
    daemons: () => 4,
  });
}

test("a runner of a brittle service gets no request beyond its slots", () => {
  const state = { requests: SLOTS };
  const brittle = createServices(state);
  assert.equal(brittle.allowsRequest("r", 0), true);
  brittle.recordStated("service", 8, 0);
  assert.equal(brittle.allowsRequest("r", 1), false);
  state.requests = SLOTS - 1;
  assert.equal(brittle.allowsRequest("r", 2), true);
});

// Guards against daemons that find out one after the other that a runner is full.
test("after a rejection a runner is left alone by all daemons' share", () => {
  const brittle = createServices({ requests: 0 });
  brittle.recordStated("service", 8, 0);
  brittle.recordRejection("r", 0);
  assert.equal(brittle.allowsRequest("r", 999), false);
  assert.equal(brittle.allowsRequest("r", 1_000), true);
});

test("a service is brittle until its runners have stated nothing for some time", () => {
  const brittle = createServices({ requests: SLOTS });
  brittle.recordStated("service", 8, 0);
  brittle.recordStated("service", undefined, 1_000);
  assert.equal(brittle.allowsRequest("r", 1_000), false);
  brittle.recordStated("service", undefined, 5_000);
  assert.equal(brittle.allowsRequest("r", 5_000), true);
});
