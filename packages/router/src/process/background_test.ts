import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { inBackground } from "./background.ts";

// Guards against a process that ends by the error of a task that nobody awaits.
test("the error of a task in the background is logged and ends nothing", async () => {
  const logged: unknown[] = [];
  const log = {
    event: (event: string, fields: object) => logged.push({ event, ...fields }),
    decision: () => {},
  };
  inBackground(Promise.reject("broken"), { name: "survey", log });
  await pause(10);
  assert.deepEqual(logged, [
    { event: "task_failed", task: "survey", reason: "broken" },
  ]);
});
