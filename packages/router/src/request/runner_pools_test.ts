import assert from "node:assert/strict";
import { test } from "node:test";
import type { Runner } from "../process/runner.ts";
import { poolsOf } from "./runner_pools.ts";

function runnerOf(index: number, fields: Partial<Runner> = {}): Runner {
  return {
    id: `i-${index}`,
    name: `i-${index}`,
    service: "pool",
    startedAtMs: undefined,
    address: "10.9.0.1",
    port: 9_000 + index,
    failureDomain: "d-1",
    slots: 16,
    draining: false,
    warmUpMs: 0,
    ...fields,
  };
}

function runnersOf(count: number): readonly Runner[] {
  return Array.from({ length: count }, (_, index) => runnerOf(index));
}

// Guards against pools that are computed for each list of runners. A thousand
// runners start, and each reports ten times how long it will still be slow,
// while all daemons have lost power and their callers reconnect at the same
// time. Computing the pools for each list takes half of a daemon's share of a
// core, and its callers wait.
test("pools are computed once while no runner is added or removed", () => {
  const runners = runnersOf(998);
  const pools = poolsOf(runners);
  const updated = [...runners];
  updated[7] = runnerOf(7, { warmUpMs: 900, id: "i-7~2" });
  assert.equal(poolsOf(updated), pools);
  assert.equal(poolsOf([...runners].reverse()), pools);
  assert.notEqual(poolsOf(runners.slice(1)), pools);
});

test("a prompt whose home runner is lost gets another one in the same pool", () => {
  const runners = runnersOf(20);
  const usable = new Set(runners.map(({ name }) => name));
  for (const tight of [true, false]) {
    const pools = poolsOf(runners);
    const home = pools.home("part", { tight, usable })!;
    assert.equal(pools.reserved.has(home), tight);
    const remaining = new Set([...usable].filter((name) => name !== home));
    const next = pools.home("part", { tight, usable: remaining })!;
    assert.notEqual(next, home);
    assert.equal(pools.reserved.has(next), tight);
    assert.equal(pools.home("part", { tight, usable: new Set() }), undefined);
  }
});
