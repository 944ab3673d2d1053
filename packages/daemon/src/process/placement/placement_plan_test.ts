import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { engineOf } from "./placement_fixtures.ts";
import { planPlacement } from "./placement_plan.ts";

test("a model without a copy is loaded on the engine with the fewest models and requests", () => {
  const decisions = planPlacement([{ model: "b", copies: 1 }], [
    engineOf("r1", ["a"], { requests: 5 }),
    engineOf("r2", ["a"], { requests: 1 }),
    engineOf("r3", ["a", "c"]),
  ]);
  assert.deepEqual(decisions, [{
    order: "load",
    model: "b",
    runner: "r2",
    runnersUp: ["r1", "r3"],
    reason: "wanted=1 holding=0 loading=0",
  }]);
});

test("a copy that is loading is not ordered again", () => {
  const engines = [
    engineOf("r1", ["a"], { loading: new Set(["b"]) }),
    engineOf("r2", ["a"]),
  ];
  assert.deepEqual(planPlacement([{ model: "b", copies: 1 }], engines), []);
});

test("an engine that refused a model is not ordered to load it again", () => {
  const engines = [engineOf("r1", ["a"], { refused: new Set(["b"]) })];
  assert.deepEqual(planPlacement([{ model: "b", copies: 1 }], engines), []);
});

test("an engine keeps its only model", () => {
  const engines = [engineOf("r1", ["a"]), engineOf("r2", ["a"])];
  assert.deepEqual(planPlacement([{ model: "a", copies: 1 }], engines), []);
});

test("a surplus copy is unloaded from an engine that keeps another model", () => {
  const engines = [engineOf("r1", ["a"]), engineOf("r2", ["a", "b"])];
  const [decision] = planPlacement([{ model: "a", copies: 1 }], engines);
  assert.equal(decision?.order, "unload");
  assert.equal(decision?.runner, "r2");
});

test("no model loses its last copy and no engine its last model, for any desired copies", () => {
  const models = ["a", "b", "c"];
  const subset = fc.subarray(models);
  const engines = fc.array(fc.tuple(subset, subset), { maxLength: 5 });
  const wanted = fc.array(
    fc.record({
      model: fc.constantFrom(...models),
      copies: fc.integer({ min: 0, max: 4 }),
    }),
    { maxLength: 3 },
  );
  fc.assert(
    fc.property(engines, wanted, (held, copies) => {
      const states = held.map(([holding, loading], at) =>
        engineOf(`r${at}`, holding, { loading: new Set(loading) })
      );
      const unique = new Map(copies.map((target) => [target.model, target]));
      const decisions = planPlacement([...unique.values()], states);
      const remaining = new Map(
        states.map(({ runner, models }) => [runner, new Set(models)]),
      );
      for (const { order, model, runner } of decisions) {
        if (order === "unload") remaining.get(runner)?.delete(model);
      }
      for (const { runner, models } of states) {
        assert.ok(models.size === 0 || (remaining.get(runner)?.size ?? 0) > 0);
        for (const model of models) {
          assert.ok([...remaining.values()].some((kept) => kept.has(model)));
        }
      }
    }),
    { seed: 3, numRuns: 500 },
  );
});
