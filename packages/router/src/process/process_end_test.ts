import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { BufferedLog } from "./event_log.ts";
import { ProcessEnd } from "./process_end.ts";

const SIGTERM = { status: 0, reason: "SIGTERM" };

/** A process whose exit a test awaits, and its log. */
function fakeProcess() {
  const written: string[] = [];
  const log = new BufferedLog((text, done) => {
    written.push(text);
    setImmediate(done);
  }, () => 0);
  const statuses: number[] = [];
  const { promise: exited, resolve } = promiseWithResolver();
  const end = new ProcessEnd(log, (status) => {
    statuses.push(status);
    resolve();
  });
  const lastLine = () => written.join("").trimEnd().split("\n").at(-1)!;
  return { log, end, exited, statuses, lastLine };
}

function promiseWithResolver() {
  let resolve = () => {};
  const promise = new Promise<void>((done) => resolve = done);
  return { promise, resolve };
}

test("a process without a service ends with its reason in the last line", async () => {
  const { log, end, exited, statuses, lastLine } = fakeProcess();
  log.event("settings_bad", {});
  end.stop({ status: 78, reason: "no settings" });
  log.event("later", {});
  end.end({ status: 1, reason: "another" });
  await exited;
  assert.deepEqual(statuses, [78]);
  assert.match(
    lastLine(),
    /^event=process_ending status=78 reason="no settings" uptime_ms=/,
  );
});

// Guards against a process that goes on without serving, or ends without a reason.
test("an error in the shutdown ends the process with its reason", async () => {
  const { end, exited, statuses, lastLine } = fakeProcess();
  end.serve({
    shutDown: () => Promise.reject(new Error("broken")),
    graceMs: () => 1_000,
  });
  end.stop(SIGTERM);
  await exited;
  assert.deepEqual(statuses, [70]);
  assert.match(lastLine(), /^event=process_ending status=70 .*broken/);
});

test("a shutdown that hangs ends within the grace period", async () => {
  const { end, exited, statuses, lastLine } = fakeProcess();
  end.serve({ shutDown: () => new Promise(() => {}), graceMs: () => 400 });
  const startedAt = performance.now();
  end.stop(SIGTERM);
  await Promise.race([exited, pause(2_000)]);
  assert.deepEqual(statuses, [1]);
  assert.ok(performance.now() - startedAt < 400);
  assert.match(
    lastLine(),
    /reason="SIGTERM, shutdown exceeds the grace period"/,
  );
});

test("an error during a shutdown decides on the status and the reason", async () => {
  const { end, exited, statuses, lastLine } = fakeProcess();
  end.serve({ shutDown: () => pause(20, true), graceMs: () => 1_000 });
  end.stop(SIGTERM);
  end.stop({ status: 70, reason: "uncaught" });
  await exited;
  assert.deepEqual(statuses, [70]);
  assert.match(lastLine(), /status=70 reason=uncaught/);
});

// Guards against a process that waits for ever for the reader of its log.
test("a reader that never reads delays the end by a second at most", async () => {
  let exits = 0;
  const end = new ProcessEnd(new BufferedLog(() => {}), () => exits += 1);
  end.stop(SIGTERM);
  await pause(1_500);
  assert.equal(exits, 1);
});
