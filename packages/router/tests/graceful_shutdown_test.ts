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

// A process gets SIGTERM while the balancer still sends it new connections. It
// must not be ready any more, yet serve them, and tell callers to connect anew.
test("a leaving daemon serves what still arrives and closes behind it", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(runnerResponse(id, "done"));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const left = router.leave();
  assert.equal(router.ready, false);
  const got = await sendRequest(router, {
    headers: { connection: "keep-alive" },
  });
  assert.equal(got.body, "done");
  assert.equal(got.headers["connection"], "close");
  assert.equal(await left, true);
});

// A connection is open but never had a request when the daemon stops accepting.
// Node does not count it as idle; left open, its first request would be read
// just before the kill and cut off.
test("a connection that never had a request is closed at the hand-over", async (t) => {
  const router = await startSingleRouteRouter(t, {}, []);
  const socket = connect(router.callersPort, "127.0.0.1");
  await once(socket, "connect");
  socket.resume();
  const closed = once(socket, "end");
  assert.equal(await router.leave(), true);
  await closed;
});

// The store turns one daemon away while operators change the configuration. It
// hears of the version from its peer; without that, it would serve old routes
// to callers for as long as the store refuses it.
test("a daemon that the store refuses learns from its peer", async (t) => {
  const configurations = new SettableFeed([testConfiguration([testRoute()])]);
  const runners = new SettableFeed([
    (await startFakeRunner(t, "r-1", () => {})).runner,
  ]);
  const refused = new SettableFeed([testConfiguration([testRoute()])]);
  refused.down = true;
  const informed = await startRouter(t, { configurations, runners });
  const alone = await startRouter(t, {
    configurations: refused,
    runners,
    settings: {
      name: "host-2",
      seeds: [`127.0.0.1:${informed.peersPort}`],
    },
  });
  await waitUntil(() => alone.ready);
  configurations.set([testConfiguration([], { version: 2 })]);
  await waitUntil(() => alone.routingTable()?.version === 2);
  assert.equal((await sendRequest(alone)).status, 404);
});
