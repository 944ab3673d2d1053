import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { request } from "node:http";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { encodeTunnelMessage } from "./tunnel_message.ts";
import type { TunnelMessage } from "./tunnel_message.ts";
import { TunnelChannel } from "./tunnel_channel.ts";
import { TunnelSocket } from "./tunnel_socket.ts";

/** Starts a peer that sends messages in one piece once a request has arrived. */
async function startPeer(
  t: TestContext,
  messages: readonly TunnelMessage[],
): Promise<TunnelSocket> {
  const server = createServer((socket: Socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.end(Buffer.concat(messages.map(encodeTunnelMessage)));
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return new TunnelSocket(async () => {
    const socket = connect(port, "127.0.0.1");
    await once(socket, "connect");
    const ignored = { onMessage() {}, onLost() {} };
    return { channel: new TunnelChannel(socket, ignored), peer: "peer" };
  }, { onLeaving() {}, onResponse() {} });
}

const PART: TunnelMessage = {
  kind: "data",
  bytes: Buffer.from("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"),
};

/** Sends a request, and returns how its response ended once a promise has settled. */
async function endOf(tunnel: TunnelSocket): Promise<"complete" | "broken"> {
  const outgoing = request({ createConnection: () => tunnel });
  const response = once(outgoing, "response");
  outgoing.end();
  const [incoming] = await response;
  // As `Attempt` does: Node takes an error for the end of a response without a length.
  outgoing.on("error", (error) => incoming.destroy(error));
  return await new Promise((resolve) => {
    incoming.on("error", () => resolve("broken"));
    incoming.on("end", () => resolve("complete"));
    incoming.resume();
  });
}

// Guards against a request that never ends: the response was broken off before anybody
// listened, as its beginning and the end of the tunnel arrived in one piece.
for (
  const last of [
    { kind: "end" },
    { kind: "broken", reason: "reset" },
  ] as const
) {
  test(`a response whose tunnel sends "${last.kind}" in one piece with it is broken`, async (t) => {
    assert.equal(await endOf(await startPeer(t, [PART, last])), "broken");
  });
}

test("a response without a length ends with the runner's connection", async (t) => {
  const bytes = Buffer.from("HTTP/1.1 200 OK\r\n\r\nall");
  const messages = [{ kind: "data", bytes }, { kind: "end" }] as const;
  assert.equal(await endOf(await startPeer(t, messages)), "complete");
});

// Guards against the end of a peer that passes for the end of the response.
test("a response without a length is broken if the peer ends", async (t) => {
  const bytes = Buffer.from("HTTP/1.1 200 OK\r\n\r\npart");
  const tunnel = await startPeer(t, [{ kind: "data", bytes }]);
  assert.equal(await endOf(tunnel), "broken");
});
