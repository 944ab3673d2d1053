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

test("method, path, query, body and end-to-end headers are forwarded unchanged", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(runnerResponse(id, "done", { headers: "X-Own: 1\r\n" }));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const response = await sendRequest(router, {
    method: "POST",
    path: "/a/b?c=d%20e",
    body: "hello",
    headers: { "x-own": "v", connection: "close, x-hop", "x-hop": "1" },
  });
  assert.deepEqual(
    [response.status, response.body, response.headers["x-own"]],
    [200, "done", "1"],
  );
  const [request = ""] = runner.requests;
  assert.match(request, /^POST \/a\/b\?c=d%20e HTTP\/1\.1\r\n/);
  assert.match(request, /x-own: v\r\n/);
  assert.match(request, /X-Runner: r-1\r\n/);
  assert.doesNotMatch(request, /x-hop/i);
  assert.match(request, /\r\n\r\nhello$/);
});

// Guards against a forged workspace header: if it were forwarded, the runner would
// work for a workspace whose key the caller does not have.
test("a workspace header from a caller is not forwarded", async (t) => {
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

test("unknown paths, missing keys and large bodies are refused", async (t) => {
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

// A daemon that has just started has no configuration yet. A 404 would be final for
// callers although their routes exist; after a 503 they retry.
test("without a configuration, requests get 503 with retry-after", async (t) => {
  const configurations = new SettableFeed([testConfiguration([testRoute()])]);
  configurations.down = true;
  const router = await startRouter(t, {
    configurations,
    runners: new SettableFeed([]),
  });
  const response = await sendRequest(router);
  assert.equal(response.status, 503);
  assert.ok(Number(response.headers["retry-after"]) > 0);
  assert.equal(router.ready, false);
});

// A runner executes a request and resets the connection without a response. A retry
// by the router would execute it twice, such as sending a job card twice; so would a
// retry by the caller after an answer that says that it was not executed.
test("a request that may have been executed is not retried, and ends in 502", async (t) => {
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
  const response = await sendRequest(router, { method: "POST", body: "x" });
  assert.equal(response.status, 502);
  assert.equal(first.requests.length + second.requests.length, 1);
});

test("an idempotent request is retried at another runner after a reset", async (t) => {
  const failing = await startFakeRunner(
    t,
    "r-1",
    (socket) => socket.resetAndDestroy(),
  );
  const healthy = await startFakeRunner(t, "r-2", (socket, _, id) => {
    socket.write(runnerResponse(id, "done"));
  });
  const router = await startSingleRouteRouter(t, {
    repetition: "idempotent",
    maxAttempts: 2,
  }, [failing, healthy]);
  assert.equal((await sendRequest(router)).body, "done");
});

// Both runners respond with 500. The caller must get a runner's own response, not one
// that the router has generated.
test("the runner's own error is returned when all attempts fail", async (t) => {
  const startRunner = (status: string) =>
    startFakeRunner(t, status, (socket, _, id) => {
      socket.write(runnerResponse(id, "failed", { status: "500 Error" }));
    });
  const router = await startSingleRouteRouter(t, {
    repetition: "idempotent",
    maxAttempts: 2,
  }, [await startRunner("r-1"), await startRunner("r-2")]);
  const response = await sendRequest(router);
  assert.deepEqual(
    [response.status, response.body, response.headers["x-seal"]],
    [500, "failed", "s"],
  );
});

// A runner responds with 500 and the retry budget is used up. The caller must get the
// runner's own response, and one retry must not be charged twice.
test("the runner's own error is returned when the retry budget is used up", async (t) => {
  const runners = await Promise.all(
    ["r-1", "r-2"].map((id) =>
      startFakeRunner(t, id, (socket, _, requestId) => {
        socket.write(
          runnerResponse(requestId, "failed", { status: "500 Error" }),
        );
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
    // Half of the extra retries, divided among 8 daemons: one.
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

test("a runner's refusal becomes a 503 with retry-after", async (t) => {
  const full = await startFakeRunner(t, "r-1", (socket, _, id) => {
    const headers = "X-Not-Run: 1\r\n";
    socket.write(runnerResponse(id, "", { status: "503 Full", headers }));
  });
  const router = await startSingleRouteRouter(t, {}, [full]);
  const response = await sendRequest(router);
  assert.equal(response.status, 503);
  assert.ok(Number(response.headers["retry-after"]) > 0);
});

// Guards against a response that goes to the wrong caller: on a keep-alive connection,
// a second response to the previous request arrives in place of the next response.
test("a response to another request is not forwarded", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket) => {
    socket.write(runnerResponse("another", "not yours"));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const response = await sendRequest(router);
  assert.deepEqual([response.status, response.body.includes("not yours")], [
    502,
    false,
  ]);
});

test("a success without the runner's seal is not forwarded", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(
      `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: 1\r\n\r\nx`,
    );
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  assert.equal((await sendRequest(router)).status, 502);
});

// A response without a length is cut off by a reset. Node ends such a response as if it
// were complete, and the caller would take the part for the whole.
test("a response without a length that is reset is not treated as complete", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    const head = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n`;
    socket.write(`${head}part`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  assert.equal((await sendRequest(router)).status, 502);
});

// A response without a length ends with its connection, so only its content shows
// whether it is complete. If the router added a length, a part would look complete.
test("a response without a length is forwarded without a length", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.end(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\nall`);
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const response = await sendRequest(router);
  assert.equal(response.body, "all");
  assert.equal(response.headers["content-length"], undefined);
  assert.equal(response.headers["transfer-encoding"], undefined);
  assert.equal(response.headers["connection"], "close");
});

// A runner resets the connection in the middle of the second event, and the next runner
// sends the first event again. The caller must get each event once and complete.
test("a resumable stream continues at another runner with each event once", async (t) => {
  const startRunner = (id: string) =>
    startFakeRunner(t, id, (socket, request, requestId) => {
      if (!request.includes("Last-Event-Id")) {
        socket.write(
          streamHead(requestId) + encodeChunk("id: 1\ndata: a\n\nid: 2\nda"),
        );
        return void setTimeout(() => socket.resetAndDestroy(), 20);
      }
      const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
      socket.write(streamHead(requestId) + encodeChunk(events) + "0\r\n\r\n");
    });
  const runners = [await startRunner("r-2"), await startRunner("r-3")];
  const router = await startSingleRouteRouter(t, {
    repetition: "resumable",
    streaming: true,
    maxAttempts: 2,
  }, runners);
  const response = await sendRequest(router);
  assert.equal(response.truncated, false);
  assert.equal(response.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  const resumed = runners.flatMap(({ requests }) => requests)
    .filter((request) => request.includes("Last-Event-Id: 1"));
  assert.equal(resumed.length, 1);
});

test("a stream that cannot be resumed does not end as if it were complete", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(streamHead(id) + encodeChunk("id: 1\ndata: a\n\n"));
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  const router = await startSingleRouteRouter(t, { streaming: true }, [runner]);
  assert.equal((await sendRequest(router)).truncated, true);
});

// A runner never responds. The caller must get a final response at the route's
// time-out, one that doesn't say that the request was not executed.
test("a runner without a response leads to 504 at the route's time-out", async (t) => {
  const runner = await startFakeRunner(t, "r-1", () => {});
  const router = await startSingleRouteRouter(t, { timeoutMs: 100 }, [runner]);
  assert.equal((await sendRequest(router)).status, 504);
  await waitUntil(() => runner.closed === 1);
});

test("the runner's request is aborted when the caller disconnects", async (t) => {
  const runner = await startFakeRunner(t, "r-1", () => {});
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const socket = connect(router.callersPort, "127.0.0.1");
  socket.write("GET / HTTP/1.1\r\nHost: test\r\nX-Id: a\r\n\r\n");
  await waitUntil(() => runner.requests.length === 1);
  socket.destroy();
  await waitUntil(() => runner.closed === 1);
});

// The address belongs to another runner than the list says. That runner refuses with
// 421 without executing the request, so the caller may retry.
test("a request that another runner refuses as misdirected gets 503", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    const headers = "X-Not-Run: 1\r\n";
    socket.write(runnerResponse(id, "", { status: "421 Other", headers }));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  assert.equal((await sendRequest(router)).status, 503);
});

// A caller sends the head and half of the body, then nothing. It must get a final
// response at the route's time-out, and nothing may reach a runner.
test("an incomplete body ends in 408 at the route's time-out", async (t) => {
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
