import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import type { Route } from "../src/version/configuration.ts";
import {
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
} from "./fixtures.ts";

const EVENT = "id: 1\ndata: a\n\n";

/** Starts a router with a runner that answers path "/bad" with a wrong status. */
async function startFaultyRunner(
  t: TestContext,
  status: string,
  route: Partial<Route>,
) {
  const runner = await startFakeRunner(t, "r-1", (socket, request, id) => {
    const bad = request.startsWith("GET /bad");
    const delayMs = bad ? 0 : 100;
    const response = runnerResponse(id, EVENT, {
      status: bad ? status : "200 OK",
    });
    setTimeout(() => socket.write(response), delayMs);
  });
  return await startSingleRouteRouter(t, route, [runner]);
}

// Guards against one wrong byte of a runner that ends the daemon, and with it the
// requests of all others: Node reads a status that it refuses to write.
for (const streaming of [true, false]) {
  const kind = streaming ? "streamed" : "plain";
  test(`a ${kind} response with status 000 fails its own request only`, async (t) => {
    const router = await startFaultyRunner(t, "000 OK", { streaming });
    const sound = sendRequest(router, { headers: { "x-id": "sound" } });
    const bad = await sendRequest(router, { path: "/bad" });
    assert.equal(bad.status, 502);
    assert.equal((await sound).body, EVENT);
  });
}

test("another runner is tried after a response with status 000", async (t) => {
  const faulty = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(runnerResponse(id, EVENT, { status: "000 OK" }));
  });
  const sound = await startFakeRunner(t, "r-2", (socket, _, id) => {
    socket.write(runnerResponse(id, EVENT));
  });
  const route = { repetition: "idempotent", maxAttempts: 2 } as const;
  const router = await startSingleRouteRouter(t, route, [faulty, sound]);
  for (const id of ["a", "b", "c", "d"]) {
    const response = await sendRequest(router, { headers: { "x-id": id } });
    assert.equal(response.status, 200);
  }
  assert.ok(faulty.requests.length > 0);
});

test("a response with a status above those of HTTP is relayed unchanged", async (t) => {
  const router = await startFaultyRunner(t, "999 Odd", {});
  assert.equal((await sendRequest(router, { path: "/bad" })).status, 999);
});
