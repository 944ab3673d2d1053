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
