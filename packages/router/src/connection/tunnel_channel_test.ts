import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { TunnelChannel } from "./tunnel_channel.ts";
import { encodeTunnelMessage } from "./tunnel_message.ts";

// Guards against sockets that wait for a host without power until the system gives up:
// keep-alive probes and TCP_USER_TIMEOUT decide that otherwise.
test("a channel whose other side does not respond closes by a timer of its own", async (t) => {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => {});
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  await once(socket, "connect");
  const channel = new TunnelChannel(socket, {
    onMessage() {},
    onLost: () => assert.fail("closed by the other side"),
  });
  channel.send({ kind: "connected" });
  channel.end();
  await once(socket, "close");
  assert.equal(socket.destroyed, true);
});

// Guards against a tunnel that is kept although its host has said that it leaves, and
// against a request that waits on a tunnel that is lost: nobody listened yet.
test("what follows a reply in one piece reaches whoever listens next", async (t) => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    const messages = [{ kind: "connected" }, { kind: "leaving" }] as const;
    socket.end(Buffer.concat(messages.map(encodeTunnelMessage)));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  const replies: string[] = [];
  const channel = new TunnelChannel(socket, {
    onMessage: ({ kind }) => {
      replies.push(kind);
      channel.hold();
    },
    onLost: () => replies.push("lost"),
  });
  await once(socket, "close");
  const later: string[] = [];
  channel.listen({
    onMessage: ({ kind }) => later.push(kind),
    onLost: () => later.push("lost"),
  });
  assert.deepEqual(replies, ["connected"]);
  assert.deepEqual(later, ["leaving", "lost"]);
});
