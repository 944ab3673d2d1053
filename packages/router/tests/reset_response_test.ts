import assert from "node:assert/strict";
import { connectClient } from "@umbermast/coordination/client_socket";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import type { Route } from "../src/version/configuration.ts";
import type { Router } from "../src/router.ts";
import {
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
} from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";
import { startTunnelled } from "./linked_routers.ts";

const LOCALHOST = "127.0.0.1";
const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
/** Requests that each case sends, as timing may hide the fault in some. */
const TRIES = 10;
/** Size of a request that its runner answers before it has read it. */
const LONG_REQUEST_BYTES = 3_500_000;
const MAX_BODY_BYTES = 4_000_000;

/** Returns a body that ends with its connection, after its head. */
function unframed(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n${body}`;
}

/** How the connection ends right behind a part of the body. */
type Ending = "reset" | "close";

function end(socket: Socket, ending: Ending): void {
  // In the same turn of the event loop as the write: both arrive before the router
  // polls again.
  if (ending === "reset") socket.resetAndDestroy();
  else socket.end();
}

/**
 * Starts runners that answer with the first event of two, and end the connection.
 * They write the second one to a caller who has the first.
 */
async function startEnding(
  t: TestContext,
  ending: Ending,
): Promise<readonly FakeRunner[]> {
  return await Promise.all(
    ["r-1", "r-2", "r-3"].map((name) =>
      startFakeRunner(t, name, (socket, request, id) => {
        if (id === "") return;
        if (/last-event-id: 1/i.test(request)) {
          return void socket.end(unframed(id, SECOND));
        }
        socket.write(unframed(id, FIRST));
        end(socket, ending);
      })
    ),
  );
}

/** Starts a router with a direct path to its runners. */
function startDirect(
  t: TestContext,
  route: Partial<Route>,
  runners: readonly FakeRunner[],
): Promise<Router> {
  return startSingleRouteRouter(t, route, runners, {
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: MAX_BODY_BYTES,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 10_000,
    },
  });
}

const PATHS = { direct: startDirect, tunnel: startTunnelled } as const;

/** What a caller got whose answer it takes for whole. */
interface Whole {
  readonly status: number;
  readonly body: string;
}

/** Sends requests, and returns the answers of status 200 that look whole. */
async function wholeAnswers(
  router: Router,
  request: { readonly method?: string; readonly body?: string } = {},
): Promise<readonly Whole[]> {
  const whole: Whole[] = [];
  for (let sent = 0; sent < TRIES; sent++) {
    const response = await sendRequest(router, {
      ...request,
      headers: { "x-id": `try-${sent}` },
    });
    if (response.status === 200 && !response.truncated) whole.push(response);
  }
  return whole;
}

const ONCE = { repetition: "never" } as const;
const REPEATED = { repetition: "idempotent", maxAttempts: 2 } as const;
const STREAM = { repetition: "never", streaming: true } as const;

/** A test's name, the path to its runners, and its route. */
type Case = readonly [string, keyof typeof PATHS, Partial<Route>];

const RESET: readonly Case[] = [
  ["a reset part of an idempotent answer is not whole", "direct", REPEATED],
  ["a reset part of an answer is not whole", "direct", ONCE],
  ["a reset part of a stream is not whole", "direct", STREAM],
  [
    "a reset part of an idempotent answer is not whole behind a peer",
    "tunnel",
    REPEATED,
  ],
  ["a reset part of an answer is not whole behind a peer", "tunnel", ONCE],
  ["a reset part of a stream is not whole behind a peer", "tunnel", STREAM],
];

// Guards against a reset right behind a part, of which Node shows an ordinary end.
for (const [name, path, route] of RESET) {
  test(name, async (t) => {
    const runners = await startEnding(t, "reset");
    const router = await PATHS[path](t, route, runners);
    assert.deepEqual(await wholeAnswers(router), []);
  });
}

const RESUMED: readonly (readonly [string, keyof typeof PATHS])[] = [
  ["a stream that is reset behind an event continues", "direct"],
  ["a stream that is reset behind an event continues behind a peer", "tunnel"],
];

// Guards against a stream that ends as complete before its last event.
for (const [name, path] of RESUMED) {
  test(name, async (t) => {
    const runners = await startEnding(t, "reset");
    const router = await PATHS[path](t, {
      streaming: true,
      repetition: "resumable",
      maxAttempts: 2,
    }, runners);
    const whole = await wholeAnswers(router);
    assert.equal(whole.length, TRIES);
    assert.ok(whole.every(({ body }) => body === FIRST + SECOND));
  });
}

const CLOSED: readonly Case[] = [
  ["a closed idempotent answer is whole", "direct", REPEATED],
  ["a closed answer is whole", "direct", ONCE],
  ["a closed stream is whole", "direct", STREAM],
  ["a closed idempotent answer is whole behind a peer", "tunnel", REPEATED],
  ["a closed answer is whole behind a peer", "tunnel", ONCE],
  ["a closed stream is whole behind a peer", "tunnel", STREAM],
];

for (const [name, path, route] of CLOSED) {
  test(name, async (t) => {
    const runners = await startEnding(t, "close");
    const router = await PATHS[path](t, route, runners);
    const whole = await wholeAnswers(router);
    assert.equal(whole.length, TRIES);
    assert.ok(whole.every(({ body }) => body === FIRST));
  });
}

// Guards against the same where the answer and the reset come while the request is sent.
test("a reset part is not whole while its request is being sent", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    if (id === "") return;
    socket.write(unframed(id, FIRST));
    socket.resetAndDestroy();
  });
  const router = await startDirect(t, { repetition: "never" }, [runner]);
  const request = { method: "POST", body: "x".repeat(LONG_REQUEST_BYTES) };
  assert.deepEqual(await wholeAnswers(router, request), []);
});

// Guards against an answer that waits until a runner has read the whole request.
test("a closed answer is whole while its request is being sent", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    if (id === "") return;
    socket.pause();
    socket.end(unframed(id, FIRST));
  });
  const router = await startDirect(t, { repetition: "never" }, [runner]);
  const request = { method: "POST", body: "x".repeat(LONG_REQUEST_BYTES) };
  assert.equal((await wholeAnswers(router, request)).length, TRIES);
});

// Guards against a whole answer that is lost as its runner reads no more of the request.
test("a closed answer is whole if a reset follows it", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    if (id === "") return;
    socket.pause();
    socket.end(unframed(id, FIRST), () => socket.resetAndDestroy());
  });
  const router = await startDirect(t, { repetition: "never" }, [runner]);
  const request = { method: "POST", body: "x".repeat(LONG_REQUEST_BYTES) };
  assert.equal((await wholeAnswers(router, request)).length, TRIES);
});

// Guards against a part that a caller of HTTP/1.0 takes for the whole.
test("a reset stream is reset for a caller of HTTP/1.0", async (t) => {
  const runners = await startEnding(t, "reset");
  const route = { streaming: true, repetition: "never" } as const;
  const router = await startDirect(t, route, runners);
  for (let sent = 0; sent < TRIES; sent++) {
    assert.equal(await endsInOrder(router.callersPort), false);
  }
});

/** Whether the connection of a caller of HTTP/1.0 ends without a reset. */
function endsInOrder(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    // Node shows an ordinary end of a reset that comes with the last bytes.
    const socket = connectClient({ port, host: LOCALHOST });
    let error: Error | undefined;
    socket.on("error", (reason) => error = reason);
    socket.on("close", () => resolve(error === undefined));
    socket.resume();
    socket.write("GET / HTTP/1.0\r\nHost: test\r\nX-Id: a\r\n\r\n");
  });
}
