import assert from "node:assert/strict";
import { test } from "node:test";
import { expectedPage, keptPage } from "./capacity.ts";
import { costs, total } from "./capacity_arithmetic.ts";
import type { Carrier, Load } from "./capacity_load.ts";
import { capacityPage } from "./capacity_page.ts";
import { derive } from "./capacity_plan.ts";

import { fitSamples, type Role, type SlopesResult } from "./slopes_result.ts";

function loadOf(role: Role, changes: Partial<Load> = {}): Load {
  return {
    role,
    title: role,
    today: { bearers: 380, amount: 10, most: 20, working: "given" },
    control: true,
    kind: "rate",
    ...changes,
  };
}

function carrierOf(loads: readonly Load[]): Carrier {
  return { name: "Test", mechanism: "none", modules: [], loads };
}

const NOTHING = {
  x: 0,
  cpuMicros: 0,
  bytes: 0,
  messages: 0,
  stateBytes: 0,
  storeCalls: 0,
};

/** Slopes 3 µs, 100 bytes, 2 messages, 50 bytes of state; base 1,000 of each. */
function resultOf(roles: readonly Role[]): SlopesResult {
  const samples = [1, 2, 3].map((x) => ({
    x,
    cpuMicros: 1_000 + 3 * x,
    bytes: 1_000 + 100 * x,
    messages: 1_000 + 2 * x,
    stateBytes: 1_000 + 50 * x,
    storeCalls: 0,
  }));
  const provenance = { how: "By hand.", command: "none", date: "2026-12-02" };
  const idle = {
    ...NOTHING,
    cpuMicros: 1_000,
    bytes: 1_000,
    stateBytes: 1_000,
  };
  const fit = fitSamples([idle, ...samples], {
    per: "thing",
    ...provenance,
    withoutIdle: true,
  });
  const member = fitSamples(samples, { per: "member", ...provenance });
  return {
    machine: { cores: 1, memoryGiB: 1, node: "v20" },
    slopes: {},
    fits: Object.fromEntries(
      roles.map((role) => [role, role === "member" ? member : fit]),
    ),
  };
}

test("the plan divides as the design's arithmetic says", () => {
  const size = derive();
  assert.equal(Math.round(size.tokensPerAnswer), 329);
  assert.equal(Math.round(size.answerSeconds), 21);
  assert.equal(Math.round(size.openStreams / 1_000), 294);
  assert.equal(Math.round(size.requestsPerDaemon), 37);
  assert.equal(Math.round(size.streamsPerRunner), 123);
  assert.equal(size.shards, 150);
  assert.equal(size.mostShardsPerDaemon, 1);
  assert.equal(size.rows, 1_860);
});

test("cost is slope times amount, the idle process counted once", () => {
  const carrier = carrierOf([
    loadOf("broker"),
    loadOf("broker", { kind: "idle" }),
    loadOf("member"),
  ]);
  const lines = costs([carrier], resultOf(["broker", "member"]));
  assert.equal(Math.round(lines[0]?.today?.mean.cpuMicros ?? 0), 30);
  assert.equal(Math.round(lines[0]?.today?.most.bytes ?? 0), 2_000);
  assert.equal(Math.round(lines[1]?.today?.mean.cpuMicros ?? 0), 1_000);
  assert.equal(Math.round(lines[2]?.today?.mean.cpuMicros ?? 0), 30);
  assert.equal(Math.round(total(lines).today.mean.cpuMicros), 1_060);
});

test("a load that few daemons bear counts by their number on average", () => {
  const today = { bearers: 38, amount: 10, most: 10, working: "given" };
  const carrier = carrierOf([loadOf("broker", { today })]);
  const [line] = costs([carrier], resultOf(["broker"]));
  assert.equal(Math.round(line?.today?.borne.cpuMicros ?? 0), 30);
  assert.equal(Math.round(line?.today?.mean.cpuMicros ?? 0), 3);
  assert.equal(Math.round(line?.today?.most.cpuMicros ?? 0), 30);
});

test("a named change alters the later sums and leaves today's", () => {
  const later = {
    bearers: 380,
    amount: 1,
    most: 1,
    working: "given",
    change: "less",
  };
  const carrier = carrierOf([loadOf("broker", { later })]);
  const sum = total(costs([carrier], resultOf(["broker"])));
  assert.equal(Math.round(sum.today.mean.cpuMicros), 30);
  assert.equal(Math.round(sum.later.mean.cpuMicros), 3);
});

test("what is held costs state only", () => {
  const carrier = carrierOf([loadOf("brokerGrant", { kind: "held" })]);
  const [line] = costs([carrier], resultOf(["brokerGrant"]));
  assert.equal(line?.today?.mean.cpuMicros, 0);
  assert.equal(Math.round(line?.today?.mean.stateBytes ?? 0), 500);
});

test("bytes of answers are no part of the control sums", () => {
  const carrier = carrierOf([loadOf("entryToken", { control: false })]);
  const sum = total(costs([carrier], resultOf(["entryToken"])));
  assert.equal(sum.today.mean.bytes, 0);
});

test("loads without a slope are named and not counted as nothing", () => {
  const carrier = carrierOf([loadOf("broker"), loadOf("entry")]);
  const sum = total(costs([carrier], resultOf(["broker"])));
  assert.deepEqual(sum.missing.map((load) => load.role), ["entry"]);
  const page = capacityPage(resultOf([]));
  assert.match(page, /not measured yet/);
  assert.doesNotMatch(page, /: within/);
});

test("what exceeds the budget is said, with the change that closes it", () => {
  const dear = resultOf(["member", "link"]);
  const page = capacityPage(dear);
  assert.match(page, /Traffic is over the budget/);
  assert.match(page, /links in use: 1\.3 of the budget/);
});

test("docs/CAPACITY.md is what docs/capacity/slopes.json gives", () => {
  const same = keptPage() === expectedPage();
  assert.ok(same, 'the page is stale: run "npm run capacity"');
});
