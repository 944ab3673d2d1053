import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { text } from "node:stream/consumers";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { ConnectionPool } from "./connection_pool.ts";
import { createSerialServer } from "./serial_server.ts";
import type { SerialHandlers } from "./serial_server.ts";

const LOCALHOST = "127.0.0.1";
const LIMITS = { connections: 10, heldBytes: 1024 * 1024 };
const RUNS = 100;

type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

async function startServer(
  t: TestContext,
  serve: Handler,
  options: Partial<SerialHandlers> = {},
): Promise<{ readonly server: Server; readonly pool: ConnectionPool }> {
  const pool = new ConnectionPool(LIMITS);
  const handlers = {
    pool,
    serve: (request: IncomingMessage, response: ServerResponse) =>
      void serve(request, response),
    ...options,
  };
  const server = createSerialServer({}, handlers);
  server.listen(0, LOCALHOST);
  await once(server, "listening");
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return { server, pool: handlers.pool };
}

async function dial(t: TestContext, server: Server): Promise<Socket> {
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, LOCALHOST);
  socket.on("error", () => {});
  t.after(() => socket.destroy());
  await once(socket, "connect");
  return socket;
}

/** Resolves when a client's connection has closed, in whatever way. */
function closed(socket: Socket): Promise<void> {
  return new Promise((resolve) =>
    socket.resume().once("close", () => resolve())
  );
}

function head(start: string, headers: readonly string[] = []): string {
  return [`${start} HTTP/1.1`, "Host: test", ...headers, "", ""].join("\r\n");
}

/** A request with a body that holds ends of heads, in one of three framings. */
function requestText(index: number): string {
  const body = `${index}\r\n\r\nGET /x HTTP/1.1\r\n\r\n`;
  const start = `POST /${index}`;
  if (index % 3 === 0) return head(`GET /${index}`);
  if (index % 3 === 1) {
    return head(start, [`Content-Length: ${body.length}`]) + body;
  }
  const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
  return head(start, ["Transfer-Encoding: chunked"]) + chunk +
    "0\r\nTrailer: x\r\n\r\n";
}

// Guards against requests that begin before their turn, are mixed up or are lost.
test("requests that come in any pieces are served in order, one at a time", async (t) => {
  const count = 12;
  const random = xorshift128plus(69);
  for (let run = 0; run < RUNS; run++) {
    const served: string[] = [];
    let open = 0;
    const { server } = await startServer(t, async (request, response) => {
      open += 1;
      assert.equal(open, 1);
      const body = await text(request);
      served.push(`${request.url} ${body.length}`);
      if (served.length % 2 === 0) await pause(0);
      response.once("close", () => open -= 1);
      response.end(request.url);
    });
    const socket = await dial(t, server);
    const all = Array.from({ length: count }, (_, index) => requestText(index))
      .join("") + head("GET /last", ["Connection: close"]);
    for (let at = 0; at < all.length;) {
      const size = uniformInt(random, 1, run % 2 === 0 ? 40 : 900);
      socket.write(all.slice(at, at + size));
      at += size;
      if (uniformInt(random, 0, 3) === 0) await pause(0);
    }
    const received = await text(socket);
    assert.equal(received.split("HTTP/1.1 200").length, count + 2);
    assert.deepEqual(
      served.map((line) => line.split(" ")[0]),
      [...Array.from({ length: count }, (_, at) => `/${at}`), "/last"],
    );
    server.close();
  }
});

// Guards against one read that begins thousands of requests.
test("a request begins when the response to the one before has been sent", async (t) => {
  const responses: ServerResponse[] = [];
  const { server } = await startServer(t, (_, response) => {
    responses.push(response);
  });
  const socket = await dial(t, server);
  socket.write(head("GET /").repeat(2_000));
  for (let index = 0; index < 3; index++) {
    while (responses.length <= index) await pause(1);
    await pause(20);
    assert.equal(responses.length, index + 1);
    responses[index]!.end("ok");
  }
});

// Guards against a client that leaves unnoticed because its bytes are not read.
test("a client that has sent few requests ahead is seen to leave", async (t) => {
  let left = 0;
  const { server } = await startServer(t, (_, response) => {
    response.once("close", () => left += 1);
  });
  const socket = await dial(t, server);
  socket.write(head("GET /").repeat(20));
  await pause(50);
  socket.destroy();
  while (left === 0) await pause(5);
  assert.equal(left, 1);
});

// Guards against bytes of requests ahead that fill the memory.
test("connections that hold the most are closed when all hold too much", async (t) => {
  const reasons: string[] = [];
  const pool = new ConnectionPool(
    { connections: 10, heldBytes: 40_000 },
    (reason) => reasons.push(reason),
  );
  const { server } = await startServer(t, () => {}, { pool });
  const [small, large] = [await dial(t, server), await dial(t, server)];
  const largeClosed = closed(large);
  small.write(head("GET /").repeat(10));
  large.write(head("GET /").repeat(40_000));
  await largeClosed;
  assert.deepEqual(reasons, ["held_bytes"]);
  assert.ok(pool.heldBytes <= 40_000);
  assert.equal(small.destroyed, false);
});

// Guards against idle connections that keep all others out.
test("a new connection takes the place of the one that is idle the longest", async (t) => {
  const pool = new ConnectionPool({ connections: 2, heldBytes: 1_000 });
  const { server } = await startServer(
    t,
    (request, response) => void (request.url === "/" && response.end("ok")),
    { pool },
  );
  const busy = await dial(t, server);
  busy.write(head("GET /wait"));
  const idle = await dial(t, server);
  const idleClosed = closed(idle);
  const other = await dial(t, server);
  other.write(head("GET /", ["Connection: close"]));
  assert.match(await text(other), /^HTTP\/1.1 200/);
  await idleClosed;
  assert.equal(busy.destroyed, false);
});

// Guards against callers that take the descriptors which a process was wrongly told of.
test("a pool that lacks descriptors closes idle connections, and takes fewer", async (t) => {
  const { server, pool } = await startServer(t, () => {});
  const idle = await Promise.all(
    Array.from({ length: 9 }, () => dial(t, server)),
  );
  const busy = await dial(t, server);
  busy.write(head("GET /"));
  for (const socket of idle) socket.resume();
  while (pool.size < 10 || pool.heldBytes > 0) await pause(1);
  await pause(20);
  pool.shrink();
  assert.equal(pool.size, 7);
  await dial(t, server);
  await pause(20);
  assert.equal(pool.size, 7);
  assert.equal(busy.destroyed, false);
});

// Guards against clients that send ahead, or never end a body, and keep others out.
test("a new connection takes the place of one that sends ahead or is stalled", async (t) => {
  const pool = new ConnectionPool({ connections: 3, heldBytes: 1_000_000 });
  const { server } = await startServer(
    t,
    (request, response) => void (request.url === "/" && response.end("ok")),
    { pool },
  );
  const busy = await dial(t, server);
  busy.write(head("GET /wait"));
  const ahead = await dial(t, server);
  ahead.write(head("GET /wait").repeat(100));
  const stalled = await dial(t, server);
  stalled.write(head("POST /wait", ["Content-Length: 10"]));
  await pause(50);
  const [aheadClosed, stalledClosed] = [closed(ahead), closed(stalled)];
  const first = await dial(t, server);
  first.write(head("GET /wait"));
  await aheadClosed;
  await pause(1_100);
  const second = await dial(t, server);
  second.write(head("GET /", ["Connection: close"]));
  assert.match(await text(second), /^HTTP\/1.1 200/);
  await stalledClosed;
  assert.equal(busy.destroyed, false);
  assert.equal(first.destroyed, false);
});

test("a request without a host, or with an expectation, is refused in its turn", async (t) => {
  const { server } = await startServer(t, (_, response) => {
    response.end("ok");
  });
  const socket = await dial(t, server);
  socket.write(head("GET /", ["Expect: more"]) + "GET / HTTP/1.1\r\n\r\n");
  const received = await text(socket);
  assert.match(received, /^HTTP\/1.1 417 .*HTTP\/1.1 400 /s);
});

// Guards against bytes of a tunnel that reach the parser of another connection.
test("a connection is not parsed any more after a request for a tunnel", async (t) => {
  const { server } = await startServer(t, (_, response) => {
    response.end("ok");
  }, { connect: (socket) => socket.write("no tunnel") });
  const socket = await dial(t, server);
  const received = once(socket, "data");
  socket.write("CONNECT test:80 HTTP/1.1\r\nHost: test\r\n\r\n");
  assert.equal(String((await received)[0]), "no tunnel");
  socket.write(Buffer.alloc(100_000, "x"));
  const other = await dial(t, server);
  other.write(head("GET /", ["Connection: close"]));
  assert.match(await text(other), /^HTTP\/1.1 200/);
});
