import assert from "node:assert/strict";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import {
  encodeChunk,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
  waitUntil,
} from "./fixtures.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
/** Time in ms in which a part of a stream reaches its caller. */
const DELIVERY_MS = 30;
/** Time in ms in which a daemon that stops ends all responses; routes allow 30 s. */
const MAX_END_MS = 15_000;

/** What a caller received on its connection. */
interface Received {
  readonly text: string;
  /** Whether the connection was reset rather than ended. */
  readonly reset: boolean;
}

/** A caller that sends a request for a stream, and reads until its connection ends. */
class StreamCaller {
  readonly received: Promise<Received>;
  readonly #socket: Socket;

  constructor(
    port: number,
    options: { readonly protocol?: string; readonly paused?: boolean } = {},
  ) {
    const { protocol = "HTTP/1.1", paused = false } = options;
    const socket = connect(port, "127.0.0.1");
    this.#socket = socket;
    let text = "";
    let reset = false;
    socket.on("data", (chunk) => text += chunk.toString("latin1"));
    socket.on("error", () => reset = true);
    socket.write(`GET / ${protocol}\r\nHost: test\r\nX-Id: a\r\n`);
    socket.write("X-Deadline: 30000\r\n\r\n");
    if (paused) socket.pause();
    // `once` of "node:events" would reject at the error.
    this.received = new Promise((resolve) =>
      socket.once("close", () => resolve({ text, reset }))
    );
  }

  /** Reads on, if the caller was paused. */
  resume(): void {
    this.#socket.resume();
  }
}

/** Returns what a caller receives of a stream without a length. */
async function receiveStream(
  t: TestContext,
  events: string,
  finish: (socket: Socket) => void,
  timeoutMs = 2_000,
): Promise<Received> {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
      `X-Id: ${id}\r\nX-Seal: s\r\n\r\n`;
    socket.write(head + events);
    setTimeout(() => finish(socket), DELIVERY_MS);
  });
  const route = { streaming: true, timeoutMs };
  const router = await startSingleRouteRouter(t, route, [runner]);
  return await new StreamCaller(router.callersPort).received;
}

test("a stream without a length or chunks ends with its connection", async (t) => {
  const { text, reset } = await receiveStream(
    t,
    FIRST + SECOND,
    (socket) => socket.end(),
  );
  assert.ok(text.endsWith(`\r\n\r\n${FIRST}${SECOND}`), text);
  assert.doesNotMatch(text, /transfer-encoding|content-length/i);
  assert.equal(reset, false);
});

// Guards against a part of a stream that passes for the whole: without a length, an
// ordinary end of the connection is the end of the stream.
test("a stream without a length that is reset is reset toward its caller", async (t) => {
  const { reset } = await receiveStream(
    t,
    FIRST,
    (socket) => socket.resetAndDestroy(),
  );
  assert.equal(reset, true);
});

// Guards against an event that is cut in the middle and relayed as if it were whole.
test("a stream that ends inside an event has been broken off", async (t) => {
  const { text, reset } = await receiveStream(
    t,
    FIRST + SECOND.slice(0, -3),
    (socket) => socket.end(),
  );
  assert.ok(text.endsWith(FIRST), text);
  assert.equal(reset, true);
});

// Guards against a stream that passes for whole because its time is over.
test("a stream without a length that exceeds its time is reset toward its caller", async (t) => {
  const { reset } = await receiveStream(t, FIRST, () => {}, 200);
  assert.equal(reset, true);
});

// Guards against the same for a caller of HTTP/1.0, which gets no stream in chunks.
test("a stream in chunks that exceeds its time is reset toward a caller of HTTP/1.0", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(streamHead(id) + encodeChunk(FIRST));
  });
  const route = { streaming: true, timeoutMs: 200 };
  const router = await startSingleRouteRouter(t, route, [runner]);
  const { text, reset } = await new StreamCaller(
    router.callersPort,
    { protocol: "HTTP/1.0" },
  ).received;
  assert.ok(text.endsWith(FIRST), text);
  assert.equal(reset, true);
});

/** Returns a running stream's caller, at a daemon that has begun to shut down. */
async function startShutDown(
  t: TestContext,
  events: string,
  options: { readonly graceMs: number; readonly paused?: boolean },
) {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    const head = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n`;
    socket.write(head + events);
  });
  const route = { streaming: true, timeoutMs: 30_000 };
  const { graceMs, paused = false } = options;
  const parts = { settings: { graceMs } };
  const router = await startSingleRouteRouter(t, route, [runner], {}, parts);
  const caller = new StreamCaller(router.callersPort, { paused });
  await waitUntil(() => runner.requests.length > 0);
  const startedAt = performance.now();
  const stopped = router.shutDown();
  const received = caller.received.then((received) => {
    assert.ok(performance.now() - startedAt < MAX_END_MS);
    return received;
  });
  return { caller, stopped, received };
}

// Guards against a part of a stream that passes for whole: the system ends the
// connections of a process that exits in the ordinary way.
for (const graceMs of [3_000, 400]) {
  test(`a stream without a length is reset by a daemon that stops within ${graceMs} ms`, async (t) => {
    const startedAt = performance.now();
    const { stopped, received } = await startShutDown(t, FIRST, { graceMs });
    assert.equal(await stopped, false);
    assert.ok(performance.now() - startedAt < graceMs);
    const { text, reset } = await received;
    assert.ok(text.endsWith(FIRST), text);
    assert.equal(reset, true);
  });
}

// Guards against the same where the caller has not read what was written to it.
test("a stream without a length that waits for its caller is reset by a daemon that stops", async (t) => {
  const event = `id: 1\ndata: ${"a".repeat(500)}\n\n`;
  const { caller, stopped, received } = await startShutDown(
    t,
    event.repeat(40_000),
    { graceMs: 3_000, paused: true },
  );
  assert.equal(await stopped, false);
  caller.resume();
  assert.equal((await received).reset, true);
});

// Guards against a caller who waits for an answer of a daemon that is gone.
test("a request without a response gets one from a daemon that stops", async (t) => {
  const runner = await startFakeRunner(t, "r-1", () => {});
  const route = { timeoutMs: 30_000 };
  const parts = { settings: { graceMs: 400 } };
  const router = await startSingleRouteRouter(t, route, [runner], {}, parts);
  const response = sendRequest(router, { headers: { "x-deadline": "30000" } });
  await waitUntil(() => runner.requests.length > 0);
  assert.equal(await router.shutDown(), false);
  assert.equal((await response).status, 502);
  assert.equal((await response).body, '{"error":"stopped"}');
});
