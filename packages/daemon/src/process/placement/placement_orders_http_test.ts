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

async function portOf(context: TestContext, server: Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  context.after(() => {
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

function engine(
  context: TestContext,
  listener: RequestListener,
): Promise<number> {
  return portOf(context, createServer(listener));
}

function give(port: number, tenure: Tenure): Promise<OrderOutcome> {
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
  const port = await engine(context, async (request, response) => {
    const chunks: Uint8Array[] = [];
    for await (const chunk of request) chunks.push(chunk);
    bodies.push(JSON.parse(Buffer.concat(chunks).toString()));
    response.end("{}");
  });
  const outcome = await give(port, tenureOf(undefined, 7));
  assert.deepEqual(outcome, { _tag: "Taken" });
  assert.deepEqual(bodies, [{ order: "load", model: "a", fencing: 7 }]);
});

test("a 412 response reports a newer holder", async (context) => {
  const port = await engine(context, (_, response) => {
    response.writeHead(412).end('{"fencing":9}');
  });
  assert.deepEqual(await give(port, tenureOf()), { _tag: "Stale", fencing: 9 });
});

test("any other status is a refusal", async (context) => {
  const port = await engine(context, (_, response) => {
    response.writeHead(507).end();
  });
  assert.deepEqual(await give(port, tenureOf()), {
    _tag: "Refused",
    status: 507,
  });
});

// A holder is paused after deciding on an order, until its lease has expired. The
// engine does not check fencing tokens and would apply the order after a newer
// holder's. No byte of the order may be sent.
test("a holder whose tenure is too short sends no byte", async (context) => {
  const seen: string[] = [];
  const closed: Promise<unknown>[] = [];
  const server = createTcpServer((socket) => {
    socket.on("data", (bytes) => seen.push(bytes.toString()));
    closed.push(once(socket, "close"));
  });
  const port = await portOf(context, server);
  const accepted = once(server, "connection");
  const outcome = await give(port, tenureOf(() => 1_499));
  assert.equal(outcome._tag, "NotSent");
  await accepted;
  await Promise.all(closed);
  assert.deepEqual(seen, []);
});

// The network path to an engine buffers bytes and delivers them when it recovers.
// The connection is reset on time-out, so that no byte that the operating system
// still buffers can reach the engine when there is a newer holder.
test("an order without a response is aborted with unknown outcome", async (context) => {
  const ends: Promise<unknown>[] = [];
  const server = createTcpServer((socket: Socket) => {
    socket.on("data", () => {});
    ends.push(
      new Promise((resolve) => {
        socket.once(
          "error",
          ({ code }: NodeJS.ErrnoException) => resolve(code),
        );
        socket.once("close", () => resolve("closed in order"));
      }),
    );
  });
  const port = await portOf(context, server);
  const outcome = await give(port, tenureOf());
  assert.equal(outcome._tag, "Unknown");
  assert.deepEqual(await Promise.all(ends), ["ECONNRESET"]);
});

test("nothing is sent to an unreachable engine", async (context) => {
  const server = createTcpServer();
  const port = await portOf(context, server);
  server.close();
  await once(server, "close");
  assert.equal((await give(port, tenureOf()))._tag, "NotSent");
});
