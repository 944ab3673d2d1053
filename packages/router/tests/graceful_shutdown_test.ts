import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import {
  runnerResponse,
  sendRequest,
  SettableFeed,
  startFakeRunner,
  startRouter,
  startSingleRouteRouter,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";

// After SIGTERM the load balancer still sends new connections for a while. The daemon
// must report that it is not ready, but serve these requests and close each
// connection after its response.
test("a daemon that shuts down serves new requests and closes their connections", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(runnerResponse(id, "done"));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const leaving = router.shutDown();
  assert.equal(router.ready, false);
  const response = await sendRequest(router, {
    headers: { connection: "keep-alive" },
  });
  assert.equal(response.body, "done");
  assert.equal(response.headers["connection"], "close");
  assert.equal(await leaving, true);
});

// Guards against a request that is cut off at the end of the grace period. Node does
// not count a connection as idle if it never had a request. If it stayed open, its
// first request could be read just before the process is killed.
test("a connection that never had a request is closed at shutdown", async (t) => {
  const router = await startSingleRouteRouter(t, {}, []);
  const socket = connect(router.callersPort, "127.0.0.1");
  await once(socket, "connect");
  socket.resume();
  const closed = once(socket, "end");
  assert.equal(await router.shutDown(), true);
  await closed;
});

// Guards against old routes at a daemon that the store refuses while the
// configuration changes. The daemon must get the new version from its peer.
test("a daemon without the store gets the configuration from its peer", async (t) => {
  const configurations = new SettableFeed([testConfiguration([testRoute()])]);
  const runners = new SettableFeed([
    (await startFakeRunner(t, "r-1", () => {})).runner,
  ]);
  const unavailable = new SettableFeed([testConfiguration([testRoute()])]);
  unavailable.down = true;
  const connected = await startRouter(t, { configurations, runners });
  const isolated = await startRouter(t, {
    configurations: unavailable,
    runners,
    settings: {
      name: "host-2",
      seeds: [`127.0.0.1:${connected.peersPort}`],
    },
  });
  await waitUntil(() => isolated.ready);
  configurations.set([testConfiguration([], { version: 2 })]);
  await waitUntil(() => isolated.routingTable()?.version === 2);
  assert.equal((await sendRequest(isolated)).status, 404);
});
