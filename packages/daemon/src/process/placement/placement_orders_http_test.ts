import type { Tenure } from "@umbermast/coordination";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import { createServer as createTcpServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Effect from "effect/Effect";
import { runnerOf, tenureOf } from "./placement_fixtures.ts";
import type { OrderOutcome } from "./placement_order.ts";
import { HttpEngineOrders } from "./placement_orders_http.ts";

async function listen(context: TestContext, server: Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

function startEngine(
  context: TestContext,
  listener: RequestListener,
): Promise<number> {
  return listen(context, createServer(listener));
}

function sendOrder(port: number, tenure: Tenure): Promise<OrderOutcome> {
  return Effect.runPromise(
    new HttpEngineOrders().send(
      runnerOf({ port }),
      { order: "load", model: "a" },
      { tenure },
    ),
  );
}

test("an order includes the fencing token and is accepted", async (context) => {
  const bodies: unknown[] = [];
  const port = await startEngine(context, async (request, response) => {
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) chunks.push(chunk);
    bodies.push(JSON.parse(Buffer.concat(chunks).toString()));
    response.end("{}");
  });
  const outcome = await sendOrder(port, tenureOf(undefined, 7));
  assert.deepEqual(outcome, { _tag: "Taken" });
  assert.deepEqual(bodies, [{ order: "load", model: "a", fencing: 7 }]);
});

test("a 412 response reports a newer holder", async (context) => {
  const port = await startEngine(context, (_, response) => {
    response.writeHead(412).end('{"fencing":9}');
  });
  assert.deepEqual(await sendOrder(port, tenureOf()), {
    _tag: "Stale",
    fencing: 9,
  });
});

test("any other status is a refusal", async (context) => {
  const port = await startEngine(context, (_, response) => {
    response.writeHead(507).end();
  });
  assert.deepEqual(await sendOrder(port, tenureOf()), {
    _tag: "Refused",
    status: 507,
  });
});

// A holder is paused after deciding on an order, until its lease has expired. The
// engine does not check fencing tokens and would apply the order after a newer
// holder's. No byte of the order may be sent.
test("a holder whose tenure is too short sends no byte", async (context) => {
  const received: string[] = [];
  const closeEvents: Promise<unknown>[] = [];
  const server = createTcpServer((socket) => {
    socket.on("data", (bytes) => received.push(bytes.toString()));
    closeEvents.push(once(socket, "close"));
  });
  const port = await listen(context, server);
  const accepted = once(server, "connection");
  const outcome = await sendOrder(port, tenureOf(() => 1_499));
  assert.equal(outcome._tag, "NotSent");
  await accepted;
  await Promise.all(closeEvents);
  assert.deepEqual(received, []);
});

// The network path to an engine buffers bytes and delivers them when it recovers.
// The connection is reset on time-out, so that no byte that the operating system
// still buffers can reach the engine when there is a newer holder.
test("an order without a response is aborted with unknown outcome", async (context) => {
  const closeReasons: Promise<unknown>[] = [];
  const server = createTcpServer((socket: Socket) => {
    socket.on("data", () => {});
    closeReasons.push(
      new Promise((resolve) => {
        socket.once(
          "error",
          ({ code }: NodeJS.ErrnoException) => resolve(code),
        );
        socket.once("close", () => resolve("closed in order"));
      }),
    );
  });
  const port = await listen(context, server);
  const outcome = await sendOrder(port, tenureOf());
  assert.equal(outcome._tag, "Unknown");
  assert.deepEqual(await Promise.all(closeReasons), ["ECONNRESET"]);
});

test("nothing is sent to an unreachable engine", async (context) => {
  const server = createTcpServer();
  const port = await listen(context, server);
  server.close();
  await once(server, "close");
  assert.equal((await sendOrder(port, tenureOf()))._tag, "NotSent");
});

/** Status lines of responses, and the outcomes that they state. */
const STATUSES = [
  ["200 OK", "Taken"],
  ["412 Precondition Failed", "Stale"],
  ["507 Insufficient Storage", "Refused"],
] as const;

// Guards against a part of a head that is taken for a status. A status stands also
// where its body is cut.
for (const [status, stated] of STATUSES) {
  const head = `HTTP/1.1 ${status}\r\n\r\n`;
  const text = `${head}{"fencing":9}`;
  // Whether a reset is seen behind the head depends on Node: "Unknown" is right, too.
  for (const [by, cuts] of [["reset", head], ["close", text]] as const) {
    test(`a response of ${status} cut by ${by} states nothing before its head ends`, async (context) => {
      let length = 0;
      const server = createTcpServer((socket) => {
        socket.on("error", () => {});
        socket.once("data", () => {
          socket.write(text.slice(0, length));
          if (by === "reset") socket.resetAndDestroy();
          else socket.end();
        });
      });
      const port = await listen(context, server);
      for (length = 0; length < cuts.length; length++) {
        const { _tag } = await sendOrder(port, tenureOf());
        const expected = length < head.length ? "Unknown" : stated;
        assert.equal(_tag, expected, `cut after ${length} bytes`);
      }
    });
  }
}
