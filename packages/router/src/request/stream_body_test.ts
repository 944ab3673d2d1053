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

// Guards against events that are lost, or written between the chunks of the previous
// response, when more of them are held than one write takes. The caller reads nothing
// until all are written.
for (const target of ["/stream", "/HEAD", "/1.0"]) {
  test(`a body that is held for a slow caller comes whole (${target})`, async (t) => {
    const events = Array.from(
      { length: 400 },
      (_, id) => Buffer.from(`id: ${id}\ndata: ${"x".repeat(40_000)}\n\n`),
    );
    let most = 0;
    let left = Infinity;
    const request = (path: string, method = "GET", version = "1.1") =>
      `${method} ${path} HTTP/${version}\r\nHost: a\r\n\r\n`;
    const sent = {
      "/stream": request("/slow") + request(target),
      "/HEAD": request(target, "HEAD"),
      "/1.0": request(target, "GET", "1.0"),
    }[target]!;
    const received = await exchange(t, sent, (response, path) => {
      if (path === "/slow") {
        return void setTimeout(() => response.end("first"), 20);
      }
      response.writeHead(200, { Connection: "close" });
      const body = new StreamBody(response, (unread) => {
        most = Math.max(most, unread);
        left = unread;
      });
      for (const event of events) assert.equal(body.write(event), true);
      body.end();
    });
    const whole = events.map(String).join("");
    const content = received.replace(/\r\n[0-9a-f]+\r\n/g, "");
    if (target === "/HEAD") {
      assert.match(received, /\r\n\r\n$/);
      return;
    }
    assert.ok(most > 1_000_000, `${most} bytes held`);
    assert.equal(left, 0);
    // Without chunk sizes, the content is that of the events in their order.
    const ids = (text: string) => text.match(/id: \d+/g)?.join();
    assert.equal(ids(content), ids(whole));
    assert.equal(content.match(/x/g)?.length, 400 * 40_000);
  });
}
