import assert from "node:assert/strict";
import { test } from "node:test";
import { SILENT_LOG } from "../../tests/fixtures.ts";
import { SchedulingMode } from "./scheduling_mode.ts";

test("only services whose runners state their speed are scheduled adaptively", () => {
  const mode = new SchedulingMode(
    { scheduling: "auto", pressure: false },
    SILENT_LOG,
  );
  mode.recordStatedSpeed("llm");
  assert.equal(mode.isAdaptive("llm"), true);
  assert.equal(mode.isAdaptive("app"), false);
});

test("announced pressure applies to all services, and an operator's setting to more than that", () => {
  const isAdaptive = (scheduling: "auto" | "basic") =>
    new SchedulingMode({ scheduling, pressure: true }, SILENT_LOG)
      .isAdaptive("app");
  assert.equal(isAdaptive("auto"), true);
  assert.equal(isAdaptive("basic"), false);
});

// Guards against daemons that fall behind and send requests whose callers have left,
// because requests that wait take the little processor time that they have.
test("pressure alone does not apply to a host with little processor time", () => {
  const isAdaptive = (processor: number | undefined) =>
    new SchedulingMode(
      { scheduling: "auto", pressure: true, processor },
      SILENT_LOG,
    ).isAdaptive("app");
  assert.deepEqual([0.12, 0.32, undefined].map(isAdaptive), [
    false,
    true,
    true,
  ]);
});

// Guards against daemons short of processor time that hold more requests back, and
// have prompts read again, by observed paces.
test("the pace of engines is observed where they state their speed or an operator says so", () => {
  const mode = new SchedulingMode(
    { scheduling: "auto", pressure: true },
    SILENT_LOG,
  );
  assert.equal(mode.observesEngines("llm"), false);
  mode.recordStatedSpeed("llm");
  assert.equal(mode.observesEngines("llm"), true);
  const set = (scheduling: "adaptive" | "basic") =>
    new SchedulingMode({ scheduling, pressure: true }, SILENT_LOG)
      .observesEngines("llm");
  assert.deepEqual([set("adaptive"), set("basic")], [true, false]);
});
