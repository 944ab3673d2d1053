import assert from "node:assert/strict";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import {
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
} from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";

const LONG = "x".repeat(1024 * 1024);
/** Time in ms in which the body has left the runner. */
const DELIVERY_MS = 100;
const CHUNKED = /transfer-encoding: chunked/i;

/** Starts a router whose runner responds without a length. */
async function startUnframed(
  t: TestContext,
  body: string,
  finish: (socket: Socket, runner: FakeRunner) => void = (socket) =>
    socket.end(),
) {
  const runner: FakeRunner = await startFakeRunner(
    t,
    "r-1",
    (socket, _, id) => {
      const head = `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n`;
      socket.write(head + body);
      setTimeout(() => finish(socket, runner), DELIVERY_MS);
    },
  );
  return await startSingleRouteRouter(t, {}, [runner]);
}

/** Returns all that a caller receives on its connection. */
function receiveAll(port: number, protocol: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    socket.setEncoding("latin1");
    socket.on("data", (part) => text += part);
    socket.on("error", reject);
    socket.on("close", () => resolve(text));
    const headers = "Host: test\r\nConnection: close\r\nX-Id: a\r\n\r\n";
    socket.write(`GET / ${protocol}\r\n${headers}`);
  });
}

// Guards against a part that looks whole because the daemon was killed meanwhile.
test("a long response without a length is relayed in chunks", async (t) => {
  const router = await startUnframed(t, LONG);
  const text = await receiveAll(router.callersPort, "HTTP/1.1");
  assert.match(text, CHUNKED);
  assert.ok(text.endsWith("\r\n0\r\n\r\n"));
  const { body, truncated } = await sendRequest(router);
  assert.deepEqual([body.length, truncated], [LONG.length, false]);
});

test("a long response without a length has no chunks for a caller of HTTP/1.0", async (t) => {
  const router = await startUnframed(t, LONG);
  const text = await receiveAll(router.callersPort, "HTTP/1.0");
  assert.doesNotMatch(text, CHUNKED);
  assert.ok(text.endsWith(`\r\n\r\n${LONG}`));
});

// Guards against a part that chunks state to be whole: the operating system ends the
// connections of a process that crashes in the ordinary way.
test("a long response without a length whose runner crashes is not treated as complete", async (t) => {
  const router = await startUnframed(t, LONG, (_, runner) => runner.end());
  assert.equal((await sendRequest(router)).status, 502);
});
