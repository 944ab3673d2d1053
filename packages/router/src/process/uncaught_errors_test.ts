import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { stopOnUncaughtError } from "./uncaught_errors.ts";

// Guards against an unforeseen error that cuts off the requests of all callers, and
// against a process that goes on in an unknown state.
test("the first uncaught error stops the process, and each is logged", () => {
  const logged: string[] = [];
  let stops = 0;
  const events = new EventEmitter();
  const log = {
    event: (name: string) => logged.push(name),
    decision: () => {},
  };
  stopOnUncaughtError(events, { log, stop: () => stops += 1 });
  events.emit("uncaughtException", new Error("a"), "uncaughtException");
  events.emit("uncaughtException", "b", "unhandledRejection");
  assert.equal(stops, 1);
  assert.deepEqual(logged, ["uncaught_error", "uncaught_error"]);
});
