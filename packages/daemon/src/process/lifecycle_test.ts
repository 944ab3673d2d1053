import assert from "node:assert/strict";
import { test } from "node:test";
import { Lifecycle } from "./lifecycle.ts";
import type { Log } from "./log.ts";

function exampleLog(events: string[]): Log {
  return {
    event: (name, { phase }) => events.push(`${name} ${phase}`),
    decision: () => {},
    warning: () => {},
  };
}

test("a daemon serves once all requirements are met", () => {
  const events: string[] = [];
  let table = false;
  const lifecycle = new Lifecycle(exampleLog(events), [
    { reason: "table_unread", isMet: () => table },
    { reason: "hosts_unread", isMet: () => true },
  ]);
  assert.deepEqual(lifecycle.readiness(), {
    ready: false,
    phase: "starting",
    reasons: ["table_unread"],
  });
  table = true;
  assert.deepEqual(lifecycle.readiness(), {
    ready: true,
    phase: "serving",
    reasons: [],
  });
  assert.deepEqual(events, ["phase_entered serving"]);
});

test("a leaving daemon is never ready again", () => {
  const lifecycle = new Lifecycle(exampleLog([]), []);
  lifecycle.enter("leaving");
  assert.deepEqual(lifecycle.readiness(), {
    ready: false,
    phase: "leaving",
    reasons: ["leaving"],
  });
  assert.equal(lifecycle.leaving, true);
  lifecycle.enter("stopping");
  lifecycle.enter("leaving");
  assert.equal(lifecycle.phase, "stopping");
});
