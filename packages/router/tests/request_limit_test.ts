import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { acceptLimits } from "../src/process/connection_limits.ts";
import {
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  waitUntil,
} from "./fixtures.ts";

// Guards against open requests whose sum no limit counts.
test("a request beyond those that memory allows is refused, and not run", async (t) => {
  const held: (() => void)[] = [];
  const runner = await startFakeRunner(t, "one", (socket, _, id) => {
    held.push(() => socket.write(runnerResponse(id, "ok")));
  });
  const limits = acceptLimits({ descriptors: undefined, memoryMb: undefined });
  const router = await startSingleRouteRouter(t, {}, [runner], {}, {
    settings: { accepts: { ...limits, requestBytes: 30_000 } },
  });
  const first = sendRequest(router);
  await waitUntil(() => held.length === 1);
  const second = await sendRequest(router);
  assert.equal(second.status, 503);
  assert.match(second.body, /too_many_requests/);
  assert.ok(second.headers["retry-after"]);
  held[0]!();
  assert.equal((await first).status, 200);
  const third = sendRequest(router);
  await waitUntil(() => held.length === 2);
  held[1]!();
  assert.equal((await third).status, 200);
  assert.equal(runner.requests.length, 2);
});

// Guards against refused requests that are held, uncounted, as their bodies do not end.
test("a refused request is counted as long as its body does not end", async (t) => {
  const limits = acceptLimits({ descriptors: undefined, memoryMb: undefined });
  const router = await startSingleRouteRouter(t, {}, [], {}, {
    settings: { accepts: { ...limits, requestBytes: 30_000 } },
  });
  const socket = connect(router.callersPort, "127.0.0.1");
  t.after(() => socket.destroy());
  socket.write("POST / HTTP/1.1\r\nHost: none\r\nContent-Length: 2\r\n\r\n");
  const [refusal] = await once(socket, "data");
  assert.match(String(refusal), /^HTTP\/1.1 404 /);
  assert.ok(router.requests.bytes > 0);
  socket.write("ab");
  await waitUntil(() => router.requests.bytes === 0);
  socket.write("POST / HTTP/1.1\r\nHost: none\r\nContent-Length: 2\r\n\r\n");
  await once(socket, "data");
  assert.ok(router.requests.bytes > 0);
  socket.destroy();
  await waitUntil(() => router.requests.bytes === 0);
});
