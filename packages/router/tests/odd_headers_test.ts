import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { pause } from "../src/process/pause.ts";
import {
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
} from "./fixtures.ts";

/** Numbers that are no time-out of a connection, or one too long for a timer. */
const ODD_NUMBERS = [
  "7".repeat(400),
  "1e400",
  "-1",
  "0",
  "NaN",
  "Infinity",
  "2147484",
  "9007199254740991",
  "",
];
const OBSERVED_MS = 50;

/** Starts a router with a runner whose responses have the given header. */
async function startRunnerWithHeader(t: TestContext, header: string) {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(runnerResponse(id, "body", { headers: `${header}\r\n` }));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  return { router, runner };
}

// Guards against an error in a listener, which ends the daemon: Node's timers throw on
// numbers that are not finite.
for (const number of ODD_NUMBERS) {
  const shown = number.slice(0, 20);
  test(`a time-out of ${shown} in Keep-Alive is survived`, async (t) => {
    const header = `Connection: keep-alive\r\nKeep-Alive: timeout=${number}`;
    const { router } = await startRunnerWithHeader(t, header);
    for (const id of ["a", "b", "c"]) {
      const response = await sendRequest(router, { headers: { "x-id": id } });
      assert.equal(response.status, 200);
      await pause(5);
    }
  });
}

// Guards against a connection that is closed at once, as a timer that is too long fires
// at once: data sent at that time is lost.
test("a connection whose time-out is too long for a timer is kept", async (t) => {
  const header = "Connection: keep-alive\r\nKeep-Alive: timeout=9999999999";
  const { router, runner } = await startRunnerWithHeader(t, header);
  await sendRequest(router, { headers: { "x-id": "a" } });
  await pause(OBSERVED_MS);
  assert.equal(runner.closed, 0);
});

// Guards against a request that is answered with a time-out at once.
for (const timeoutMs of [1e300, Infinity, 2 ** 31, 9e15]) {
  test(`a route's time-out of ${timeoutMs} ms does not expire at once`, async (t) => {
    const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
      setTimeout(() => socket.write(runnerResponse(id, "body")), OBSERVED_MS);
    });
    const route = { timeoutMs, targetMs: Infinity, patienceMs: Infinity };
    const router = await startSingleRouteRouter(t, route, [runner]);
    const response = await sendRequest(router, {
      headers: { "x-id": "a", "x-deadline": "1e300" },
    });
    assert.equal(response.status, 200);
  });
}
