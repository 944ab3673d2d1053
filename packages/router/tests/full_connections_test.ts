import assert from "node:assert/strict";
import { test } from "node:test";
import {
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  waitUntil,
} from "./fixtures.ts";

/** Connections that a router opens to a runner at least. */
const CONNECTIONS = 2;
const BODY = "done";

// Guards against a request that waits behind its runner's connections until its time ends.
test("a request that gets no connection in time is refused before its time ends", async (t) => {
  const answers: (() => void)[] = [];
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    answers.push(() => void socket.write(runnerResponse(id, BODY)));
  });
  const services = [{ name: "service", maxConnections: 1, engine: undefined }];
  const route = { timeoutMs: 4_000 };
  const router = await startSingleRouteRouter(t, route, [runner], { services });
  const send = (id: string) => sendRequest(router, { headers: { "x-id": id } });
  const held = Array.from(
    { length: CONNECTIONS },
    (_, index) => send(`held-${index}`),
  );
  await waitUntil(() => answers.length === CONNECTIONS);
  const { status, body } = await send("queued");
  for (const answer of answers) answer();
  assert.equal(status, 503);
  assert.deepEqual(JSON.parse(body), { error: "runner_unreachable" });
  const responses = await Promise.all(held);
  assert.deepEqual(responses.map((response) => response.body), [BODY, BODY]);
  assert.equal(runner.requests.length, CONNECTIONS);
});
