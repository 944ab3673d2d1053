import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent, get } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { ClientAgent, connectClient } from "./client_socket.ts";

const LOCALHOST = "127.0.0.1";
const PART = "a part";
/** Connections of each case, as timing may hide the fault in some. */
const CONNECTIONS = 50;
/** More than the system and Node's streams buffer between two sockets. */
const LONG_BYTES = 16 * 1024 * 1024;

/** What a client sees of its connection. */
interface Seen {
  readonly received: string;
  readonly ended: boolean;
  readonly error: string | undefined;
}

/** Starts a server that handles the first bytes of each connection. */
async function startServer(
  t: TestContext,
  handle: (socket: Socket) => void,
): Promise<number> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("data", () => handle(socket));
  });
  t.after(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  server.listen(0, LOCALHOST);
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

/** Sends bytes on a new connection, and returns what is seen until it closes. */
function observe(
  port: number,
  options: { readonly bytes?: number; readonly pauseMs?: number } = {},
): Promise<Seen> {
  const { bytes = 1, pauseMs } = options;
  return new Promise((resolve) => {
    const socket = connectClient({ host: LOCALHOST, port });
    let received = "";
    let ended = false;
    let error: string | undefined;
    socket.on("data", (chunk) => received += chunk.toString("latin1"));
    socket.on("end", () => ended = true);
    socket.on("error", (reason: NodeJS.ErrnoException) => error = reason.code);
    socket.on("close", () => resolve({ received, ended, error }));
    socket.write(Buffer.alloc(bytes));
    if (pauseMs === undefined) return;
    socket.pause();
    setTimeout(() => socket.resume(), pauseMs);
  });
}

async function observeAll(
  port: number,
  options?: { readonly bytes?: number; readonly pauseMs?: number },
): Promise<readonly Seen[]> {
  const seen: Seen[] = [];
  for (let i = 0; i < CONNECTIONS; i++) seen.push(await observe(port, options));
  return seen;
}

function reset(socket: Socket): void {
  socket.write(PART);
  socket.resetAndDestroy();
}

function close(socket: Socket): void {
  socket.end(PART);
}

/** Ends the connection, and resets it as the client goes on to write. */
function closeThenReset(socket: Socket): void {
  socket.pause();
  socket.end(PART, () => socket.resetAndDestroy());
}

/** Clients that read at once, late, and while they write. */
const CLIENTS = {
  "": {},
  " of a paused client": { pauseMs: 20 },
  " of a client that writes": { bytes: LONG_BYTES },
} as const;

for (const [whose, options] of Object.entries(CLIENTS)) {
  // Guards against a reset that is reported as an ordinary end.
  test(`a reset right behind the last bytes${whose} is an error`, async (t) => {
    const port = await startServer(t, reset);
    for (const { ended, error } of await observeAll(port, options)) {
      assert.deepEqual([ended, error !== undefined], [false, true]);
    }
  });

  test(`a close right behind the last bytes${whose} is an end`, async (t) => {
    const port = await startServer(t, close);
    for (const seen of await observeAll(port, options)) {
      assert.deepEqual(seen, { received: PART, ended: true, error: undefined });
    }
  });
}

// Guards against a whole response that is lost as its request was not read to the end.
for (const [whose, options] of Object.entries(CLIENTS)) {
  test(`a close${whose} that a reset follows is an end`, async (t) => {
    const port = await startServer(t, closeThenReset);
    for (const seen of await observeAll(port, options)) {
      assert.deepEqual(seen, { received: PART, ended: true, error: undefined });
    }
  });
}

// Guards against idle connections that stay open when their servers have ended them.
test("a connection that nobody reads closes with its server", async (t) => {
  const port = await startServer(t, (socket) => void socket.end());
  const socket = connectClient({ host: LOCALHOST, port });
  socket.write("x");
  await once(socket, "close");
  assert.equal(socket.errored, null);
});

test("a connection that ends on both sides is closed without an error", async (t) => {
  const port = await startServer(t, (socket) => socket.end(PART));
  const socket = connectClient({ host: LOCALHOST, port });
  socket.end("x");
  socket.resume();
  await once(socket, "close");
  assert.equal(socket.errored, null);
});

/** Sends a request, and returns its connection. */
async function socketOf(t: TestContext, agent: Agent, port: number) {
  const request = get({ agent, host: LOCALHOST, port });
  request.on("error", () => {});
  const [socket] = await once(request, "socket") as [Socket];
  t.after(() => socket.destroy());
  return socket;
}

// Guards against an option that connections of an agent of Node have and these lack.
test("connections of an agent have its options", async (t) => {
  const port = await startServer(t, () => {});
  const options = { keepAlive: true, timeout: 60_000, highWaterMark: 1_024 };
  const socket = await socketOf(t, new ClientAgent(options), port);
  const ordinary = await socketOf(t, new Agent(options), port);
  assert.deepEqual(
    [socket.timeout, socket.readableHighWaterMark],
    [ordinary.timeout, ordinary.readableHighWaterMark],
  );
});
