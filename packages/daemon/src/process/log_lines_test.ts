import assert from "node:assert/strict";
import { test } from "node:test";
import { DecisionHistory } from "./decisions.ts";
import { LineLog } from "./log_lines.ts";

test("decisions are kept by request, and warnings counted by code", () => {
  const decisions = new DecisionHistory();
  const lines: string[] = [];
  const codes: string[] = [];
  const log = new LineLog((line) => lines.push(line), {
    decisions,
    now: () => 0,
    onWarning: (code) => codes.push(code),
  });
  log.decision("runner_chosen", { requestId: "a", runner: "r-1" });
  log.decision("runner_chosen", { requestId: "b", runner: "r-2" });
  log.warning("table_invalid", { version: 3 });
  assert.deepEqual(decisions.linesOf("a"), [
    "event=runner_chosen requestId=a runner=r-1 time=1970-01-01T00:00:00.000Z",
  ]);
  assert.equal(
    lines[2],
    "event=warning code=table_invalid version=3 time=1970-01-01T00:00:00.000Z",
  );
  assert.deepEqual(codes, ["table_invalid"]);
});

test("new decisions overwrite the oldest ones", () => {
  const decisions = new DecisionHistory(2);
  for (const line of ["1", "2", "3"]) decisions.add("a", line);
  assert.deepEqual(decisions.linesOf("a"), ["2", "3"]);
});
