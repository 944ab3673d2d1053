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
import type { FakeRunner } from "./fixtures.ts";
import { startTunnelled } from "./linked_routers.ts";

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

/** Starts runners, all of which answer with a status. */
function startRunners(t: TestContext, status: string): Promise<FakeRunner[]> {
  return Promise.all(
    ["r-1", "r-2"].map((name) =>
      startFakeRunner(t, name, (socket, _, id) => {
        if (id === "") return;
        socket.write(runnerResponse(id, EVENT, { status }));
      })
    ),
  );
}

const ROUTES: Readonly<Record<string, Partial<Route>>> = {
  "a plain route": { repetition: "never" },
  "an idempotent route": { repetition: "idempotent", maxAttempts: 2 },
  "a streaming route": { repetition: "never", streaming: true },
  "a resumable route": {
    repetition: "resumable",
    streaming: true,
    maxAttempts: 2,
  },
};

// Guards against a caller who gets what is no status of HTTP (RFC 9110, section 15).
for (const status of ["600", "999"]) {
  for (const [name, route] of Object.entries(ROUTES)) {
    test(`status ${status} on ${name} is a failure of its runner`, async (t) => {
      const runners = await startRunners(t, `${status} Odd`);
      const router = await startSingleRouteRouter(t, route, runners);
      const response = await sendRequest(router);
      assert.equal(response.status, 502);
      assert.equal(response.headers["x-seal"], undefined);
      const sent = runners.flatMap(({ requests }) => requests).length;
      assert.equal(sent, route.maxAttempts ?? 1);
    });

    test(`status ${status} on ${name} behind a peer is a failure of its runner`, async (t) => {
      const runners = await startRunners(t, `${status} Odd`);
      const router = await startTunnelled(t, route, runners);
      const response = await sendRequest(router);
      assert.equal(response.status, 502);
      assert.equal(response.headers["x-seal"], undefined);
    });
  }

  test(`another runner is tried after a response with status ${status}`, async (t) => {
    const faulty = await startFakeRunner(t, "r-1", (socket, _, id) => {
      socket.write(runnerResponse(id, EVENT, { status: `${status} Odd` }));
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
}

for (const status of [200, 299, 499, 599]) {
  test(`a response with status ${status} is relayed unchanged`, async (t) => {
    const router = await startFaultyRunner(t, `${status} Odd`, {});
    const response = await sendRequest(router, { path: "/bad" });
    assert.equal(response.status, status);
    assert.equal(response.headers["x-seal"], "s");
    assert.equal(response.body, EVENT);
  });
}
