import assert from "node:assert/strict";
import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { test } from "node:test";
import {
  encodeChunk,
  runnerResponse,
  sendRequest,
  SettableFeed,
  startFakeRunner,
  startRouter,
  startSingleRouteRouter,
  streamHead,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";

test("method, path, query, body and end-to-end headers pass unchanged", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(runnerResponse(id, "done", { headers: "X-Own: 1\r\n" }));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const got = await sendRequest(router, {
    method: "POST",
    path: "/a/b?c=d%20e",
    body: "hello",
    headers: { "x-own": "v", connection: "close, x-hop", "x-hop": "1" },
  });
  assert.deepEqual([got.status, got.body, got.headers["x-own"]], [
    200,
    "done",
    "1",
  ]);
  const [request = ""] = runner.requests;
  assert.match(request, /^POST \/a\/b\?c=d%20e HTTP\/1\.1\r\n/);
  assert.match(request, /x-own: v\r\n/);
  assert.match(request, /X-Runner: r-1\r\n/);
  assert.doesNotMatch(request, /x-hop/i);
  assert.match(request, /\r\n\r\nhello$/);
});

// A caller sends the header that names its workspace itself. If it passed, the
// runner would work for a workspace whose key the caller does not hold.
test("a caller cannot name its workspace by itself", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(runnerResponse(id, "done"));
  });
  const router = await startSingleRouteRouter(
    t,
    { anonymous: false },
    [runner],
    {
      workspaces: [{ name: "office", keys: ["k1"], tier: undefined }],
    },
  );
  await sendRequest(router, {
    headers: { "x-key": "k1", "x-tenant": "other" },
  });
  const [request = ""] = runner.requests;
  assert.match(request, /X-Tenant: office\r\n/);
  assert.doesNotMatch(request, /other|k1/);
});

test("unknown paths, unknown keys and large bodies are refused", async (t) => {
  const router = await startSingleRouteRouter(
    t,
    { pathPrefix: "/in/", anonymous: false },
    [],
    {
      workspaces: [{ name: "office", keys: ["k1"], tier: undefined }],
    },
  );
  assert.equal((await sendRequest(router, { path: "/out/" })).status, 404);
  assert.equal((await sendRequest(router, { path: "/in/x" })).status, 401);
  const large = await sendRequest(router, {
    method: "POST",
    path: "/in/x",
    headers: { "x-key": "k1" },
    body: "x".repeat(2_000),
  });
  assert.equal(large.status, 413);
});

// The daemon has just started and knows no configuration. A 404 would be final
// for callers though their routes exist; 503 sends them elsewhere or back.
test("without a configuration, requests are told to come back", async (t) => {
  const configurations = new SettableFeed([testConfiguration([testRoute()])]);
  configurations.down = true;
  const router = await startRouter(t, {
    configurations,
    runners: new SettableFeed([]),
  });
  const got = await sendRequest(router);
  assert.equal(got.status, 503);
  assert.ok(Number(got.headers["retry-after"]) > 0);
  assert.equal(router.ready, false);
});

// A runner runs a request and resets the connection without an answer. Sent a
// second time, a job card would go out twice; told "not run", the caller would
// send it again itself.
test("a request that may have run is neither repeated nor said not to have run", async (t) => {
  const first = await startFakeRunner(
    t,
    "r-1",
    (socket) => socket.resetAndDestroy(),
  );
  const second = await startFakeRunner(
    t,
    "r-2",
    (socket) => socket.resetAndDestroy(),
  );
  const router = await startSingleRouteRouter(t, { maxAttempts: 2 }, [
    first,
    second,
  ]);
  const got = await sendRequest(router, { method: "POST", body: "x" });
  assert.equal(got.status, 502);
  assert.equal(first.requests.length + second.requests.length, 1);
});

test("an idempotent request goes to a second runner when the first breaks off", async (t) => {
  const broken = await startFakeRunner(
    t,
    "r-1",
    (socket) => socket.resetAndDestroy(),
  );
  const sound = await startFakeRunner(t, "r-2", (socket, _, id) => {
    socket.write(runnerResponse(id, "done"));
  });
  const router = await startSingleRouteRouter(t, {
    repetition: "idempotent",
    maxAttempts: 2,
  }, [broken, sound]);
  assert.equal((await sendRequest(router)).body, "done");
});

// A runner that fails by itself answers 500, and so does the second one. The
// caller gets a runner's own answer, not one that the router made up.
test("the runner's own failure stands when no other does better", async (t) => {
  const play = (status: string) =>
    startFakeRunner(t, status, (socket, _, id) => {
      socket.write(runnerResponse(id, "failed", { status: "500 Error" }));
    });
  const router = await startSingleRouteRouter(t, {
    repetition: "idempotent",
    maxAttempts: 2,
  }, [await play("r-1"), await play("r-2")]);
  const got = await sendRequest(router);
  assert.deepEqual([got.status, got.body, got.headers["x-seal"]], [
    500,
    "failed",
    "s",
  ]);
});

// A runner fails by itself and the budget allows no repeat. The runner's own
// answer must reach the caller, and one repeat must not be paid for twice.
test("without a repeat left, the runner's own failure reaches the caller", async (t) => {
  const runners = await Promise.all(
    ["r-1", "r-2"].map((id) =>
      startFakeRunner(t, id, (socket, _, tryId) => {
        socket.write(runnerResponse(tryId, "failed", { status: "500 Error" }));
      })
    ),
  );
  const router = await startRouter(t, {
    configurations: new SettableFeed([
      testConfiguration([
        testRoute({ repetition: "idempotent", maxAttempts: 2 }),
      ]),
    ]),
    runners: new SettableFeed(runners.map(({ runner }) => runner)),
    // Half of the extra repeats, divided among 8 daemons: one.
    settings: { retries: { ratio: 0, extra: 16, windowMs: 10_000 } },
  });
  await waitUntil(() => router.ready);
  const arrivals = () =>
    runners.reduce((sum, { requests }) => sum + requests.length, 0);
  assert.equal((await sendRequest(router)).status, 500);
  assert.equal(arrivals(), 2);
  assert.equal((await sendRequest(router)).status, 500);
  assert.equal(arrivals(), 3);
});

test("a runner's refusal becomes a 503 with a time to come back", async (t) => {
  const full = await startFakeRunner(t, "r-1", (socket, _, id) => {
    const headers = "X-Not-Run: 1\r\n";
    socket.write(runnerResponse(id, "", { status: "503 Full", headers }));
  });
  const router = await startSingleRouteRouter(t, {}, [full]);
  const got = await sendRequest(router);
  assert.equal(got.status, 503);
  assert.ok(Number(got.headers["retry-after"]) > 0);
});

// On a kept connection, a second answer to the request before arrives where the
// next answer is due. Passed on, a caller would get another caller's answer.
test("an answer to another request is not passed on", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket) => {
    socket.write(runnerResponse("another", "not yours"));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const got = await sendRequest(router);
  assert.deepEqual([got.status, got.body.includes("not yours")], [502, false]);
});

test("a success that the runner does not vouch for is not passed on", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: 1\r\n\r\nx`,
    );
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  assert.equal((await sendRequest(router)).status, 502);
});

// An answer has no length and its connection is reset after a part. Node ends
// such an answer as if it were whole, and the caller would take the part for it.
test("a reset answer without length is not taken as whole", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    const head = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n`;
    socket.write(`${head}part`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  assert.equal((await sendRequest(router)).status, 502);
});

// An answer has no length and ends with its connection. Whether it is whole
// only its bytes can tell; given a length, a part would look vouched for.
test("an answer without length goes on without length", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.end(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\nall`);
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const got = await sendRequest(router);
  assert.equal(got.body, "all");
  assert.equal(got.headers["content-length"], undefined);
  assert.equal(got.headers["transfer-encoding"], undefined);
  assert.equal(got.headers["connection"], "close");
});

// A runner stops in the middle of its second event. The caller must get each
// event once and whole, though the second runner repeats the first one.
test("a resumable stream goes on at another runner, each event once", async (t) => {
  const play = (id: string) =>
    startFakeRunner(t, id, (socket, request, tryId) => {
      if (!request.includes("Last-Event-Id")) {
        socket.write(
          streamHead(tryId) + encodeChunk("id: 1\ndata: a\n\nid: 2\nda"),
        );
        return void setTimeout(() => socket.resetAndDestroy(), 20);
      }
      const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
      socket.write(streamHead(tryId) + encodeChunk(events) + "0\r\n\r\n");
    });
  const runners = [await play("r-2"), await play("r-3")];
  const router = await startSingleRouteRouter(t, {
    repetition: "resumable",
    streaming: true,
    maxAttempts: 2,
  }, runners);
  const got = await sendRequest(router);
  assert.equal(got.truncated, false);
  assert.equal(got.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  const resumed = runners.flatMap(({ requests }) => requests)
    .filter((request) => request.includes("Last-Event-Id: 1"));
  assert.equal(resumed.length, 1);
});

test("a stream that may not be resumed does not end as if complete", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(streamHead(id) + encodeChunk("id: 1\ndata: a\n\n"));
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const router = await startSingleRouteRouter(t, { streaming: true }, [runner]);
  assert.equal((await sendRequest(router)).truncated, true);
});

// A runner never answers. The caller gets its final answer at the timeout of
// the route, and as the request may have run, not one that says it has not.
test("a silent runner ends in 504 at the route's timeout", async (t) => {
  const runner = await startFakeRunner(t, "r-1", () => {});
  const router = await startSingleRouteRouter(t, { timeoutMs: 100 }, [runner]);
  assert.equal((await sendRequest(router)).status, 504);
  await waitUntil(() => runner.closed === 1);
});

test("the runner's work ends when the caller leaves", async (t) => {
  const runner = await startFakeRunner(t, "r-1", () => {});
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const socket = connect(router.callersPort, "127.0.0.1");
  socket.write("GET / HTTP/1.1\r\nHost: test\r\nX-Id: a\r\n\r\n");
  await waitUntil(() => runner.requests.length === 1);
  socket.destroy();
  await waitUntil(() => runner.closed === 1);
});

// A runner at the address is another one than the list says: it refuses by 421
// and has run nothing, so the caller may come back.
test("a request that met another runner at the address is said not to have run", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    const headers = "X-Not-Run: 1\r\n";
    socket.write(runnerResponse(id, "", { status: "421 Other", headers }));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  assert.equal((await sendRequest(router)).status, 503);
});

// A caller sends the head of a request and half of its body, then nothing. It
// gets its final answer at the route's timeout, and nothing reaches a runner.
test("a body that does not come ends in 408 at the route's timeout", async (t) => {
  const runner = await startFakeRunner(t, "r-1", () => {});
  const router = await startSingleRouteRouter(t, { timeoutMs: 100 }, [runner]);
  const socket = connect(router.callersPort, "127.0.0.1");
  const lines = [
    "POST / HTTP/1.1",
    "Host: test",
    "Content-Length: 9",
    "",
    "ha",
  ];
  socket.write(lines.join("\r\n"));
  assert.match(await text(socket), /^HTTP\/1\.1 408 /);
  assert.equal(runner.requests.length, 0);
});
