import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { OverloadGuard } from "./overload_guard.ts";

/** Evaluates a guard under a series of loads, a second apart. */
function overloadedUnder(
  loads: readonly {
    readonly delayMs: number;
    readonly own: number;
    readonly mean: number | undefined;
  }[],
): readonly boolean[] {
  let load = loads[0]!;
  const guard = new OverloadGuard({
    log: SILENT_LOG,
    delayMs: () => load.delayMs,
    ownRequests: () => load.own,
    meanRequests: () => load.mean,
  });
  return loads.map((each, index) => {
    load = each;
    return guard.isOverloaded(1_000 * index);
  });
}

// Guards against callers that are served late by one daemon while the others are idle.
test("a late daemon with most of the requests is overloaded until it is in time", () => {
  const overloaded = overloadedUnder([
    { delayMs: 20, own: 80, mean: 5 },
    { delayMs: 300, own: 80, mean: 5 },
    { delayMs: 120, own: 10, mean: 5 },
    { delayMs: 40, own: 10, mean: 5 },
  ]);
  assert.deepEqual(overloaded, [false, true, true, false]);
});

// Guards against a fleet that turns its callers away because all daemons are late.
test("a daemon that is late with as much to do as the others is not overloaded", () => {
  assert.deepEqual(
    overloadedUnder([
      { delayMs: 900, own: 80, mean: 60 },
      { delayMs: 900, own: 15, mean: 0 },
      { delayMs: 900, own: 80, mean: undefined },
    ]),
    [false, false, false],
  );
});
