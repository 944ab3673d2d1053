import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { testEngine } from "../../tests/fixtures.ts";
import { openSocket } from "./open_socket.ts";
import { connectTo } from "./runner_probe.ts";

const LOCALHOST = "127.0.0.1";
/** Time in ms of a stall that is longer than a connection must stay open. */
const STALL_MS = 60;
/** Time in ms of a stall in which the time for opening a connection expires. */
const LONG_STALL_MS = 400;

function stall(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

/** Starts a server, and returns its port. */
async function startServer(
  t: TestContext,
  onConnection: (socket: Socket) => void = () => {},
): Promise<number> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    onConnection(socket);
  });
  server.listen(0, LOCALHOST);
  await once(server, "listening");
  t.after(() => server.close());
  return (server.address() as AddressInfo).port;
}

// Guards against a timer that runs before a reset is seen which came in a stall.
for (const how of ["reset", "end"] as const) {
  test(`a probe that is accepted fails at a ${how} in a stall of this process`, async (t) => {
    let arrived: (other: Socket) => void = () => {};
    const port = await startServer(t, (socket) => arrived(socket));
    const connect = () => {
      const socket = openSocket({ host: LOCALHOST, port });
      const other = new Promise<Socket>((resolve) => arrived = resolve);
      void once(socket, "connect").then(async () => {
        if (how === "reset") (await other).resetAndDestroy();
        else (await other).end();
        setImmediate(() => stall(STALL_MS));
      });
      return socket;
    };
    assert.equal(await connectTo({ connect }, testEngine("r-1")), "failed");
  });
}

// Guards against a sound runner that passes for silent as this process was.
test("a probe is accepted after a stall of this process", async (t) => {
  const port = await startServer(t);
  // The event loop looks at its timers next, and then at connections.
  await new Promise((resolve) => setImmediate(resolve));
  const connect = () => {
    const socket = openSocket({ host: LOCALHOST, port });
    queueMicrotask(() => stall(LONG_STALL_MS));
    return socket;
  };
  assert.equal(await connectTo({ connect }, testEngine("r-1")), "accepted");
});
