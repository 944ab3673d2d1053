import assert from "node:assert/strict";
import { test } from "node:test";
import {
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  waitUntil,
} from "./fixtures.ts";

// Guards against a connection that is kept for the rest of a refusal that never comes.
test("a refusal whose body does not arrive does not keep its connection", async (t) => {
  const cut = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(
      `HTTP/1.1 503 Service Unavailable\r\nX-Id: ${id}\r\nX-Seal: s\r\n` +
        "X-Not-Run: 1\r\nContent-Length: 10\r\n\r\nfull",
    );
  });
  const router = await startSingleRouteRouter(t, {}, [cut]);
  const { status } = await sendRequest(router);
  assert.equal(status, 503);
  await waitUntil(() => cut.closed === 1);
});
