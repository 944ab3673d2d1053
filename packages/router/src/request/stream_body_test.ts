import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { StreamBody } from "./stream_body.ts";

const EVENTS = ["id: 1\n\n", "id: 2\ndata: two\n\n"].map((text) =>
  Buffer.from(text)
);

function streamEvents(response: ServerResponse): void {
  response.writeHead(200, { Connection: "close" });
  const body = new StreamBody(response);
  for (const event of EVENTS) body.write(event);
  response.end();
}

/** Sends bytes to a server and returns everything that it responds. */
async function exchange(
  t: TestContext,
  sent: string,
  serve: (response: ServerResponse, target: string) => void,
): Promise<string> {
  const server = createServer((request, response) =>
    serve(response, request.url!)
  );
  t.after(() => server.close());
  await once(server.listen(0, "127.0.0.1"), "listening");
  const socket: Socket = connect((server.address() as AddressInfo).port);
  socket.setEncoding("latin1");
  socket.write(sent);
  let received = "";
  for await (const part of socket) received += part;
  return received;
}

test("events reach the caller as the chunks of one complete body", async (t) => {
  const received = await exchange(
    t,
    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    streamEvents,
  );
  const [head = "", body] = received.split("\r\n\r\n", 1)
    .concat(received.slice(received.indexOf("\r\n\r\n") + 4));
  assert.match(head, /Transfer-Encoding: chunked/);
  assert.equal(
    body,
    "7\r\nid: 1\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n",
  );
});

test("a response to HEAD has no body", async (t) => {
  const received = await exchange(
    t,
    "HEAD / HTTP/1.1\r\nHost: a\r\n\r\n",
    streamEvents,
  );
  assert.match(received, /\r\n\r\n$/);
  assert.doesNotMatch(received, /id: 1/);
});

test("an HTTP/1.0 caller gets events without chunked encoding", async (t) => {
  const received = await exchange(t, "GET / HTTP/1.0\r\n\r\n", streamEvents);
  assert.match(received, /\r\n\r\nid: 1\n\nid: 2\ndata: two\n\n$/);
});

// A caller sends two requests on one connection, and the events of the second
// one are available first. Written directly to the connection, they would end
// up in the first response.
test("events wait for the previous response on the same connection", async (t) => {
  const request = (target: string) =>
    `GET ${target} HTTP/1.1\r\nHost: a\r\n\r\n`;
  const received = await exchange(
    t,
    request("/slow") + request("/stream"),
    (response, target) => {
      if (target === "/stream") return streamEvents(response);
      setTimeout(() => response.end("first"), 20);
    },
  );
  assert.ok(received.indexOf("first") < received.indexOf("id: 1"), received);
  assert.match(received, /5\r\nfirst\r\n0|first/);
});
