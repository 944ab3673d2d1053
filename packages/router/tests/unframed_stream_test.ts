import assert from "node:assert/strict";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { startFakeRunner, startSingleRouteRouter } from "./fixtures.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
/** Time in ms in which a part of a stream reaches its caller. */
const DELIVERY_MS = 30;

/** What a caller received on its connection. */
interface Received {
  readonly text: string;
  /** Whether the connection was reset rather than ended. */
  readonly reset: boolean;
}

/** Sends a request for a stream, and reads until the connection ends. */
async function receive(port: number): Promise<Received> {
  const socket = connect(port, "127.0.0.1");
  let text = "";
  let reset = false;
  socket.on("data", (chunk) => text += chunk.toString("latin1"));
  socket.on("error", () => reset = true);
  socket.write("GET / HTTP/1.1\r\nHost: test\r\nX-Id: a\r\n\r\n");
  // `once` of "node:events" would reject at the error.
  await new Promise((resolve) => socket.once("close", resolve));
  return { text, reset };
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
  return await receive(router.callersPort);
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
