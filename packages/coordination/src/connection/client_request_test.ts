import assert from "node:assert/strict";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { text } from "node:stream/consumers";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { CuttingServer } from "../testing/mod.ts";
import { clientRequest } from "./client_request.ts";

const LOCALHOST = "127.0.0.1";
const HEAD = "HTTP/1.1 200 OK\r\n";
const BODY = "a body";
/** Requests of each case, as timing may hide the fault in some. */
const REQUESTS = 20;
/** Time in ms for which a reader leaves a response that has arrived. */
const LATE_MS = 5;

/** Starts a server that sends bytes and resets the connection. */
async function startResetting(t: TestContext, bytes: string): Promise<number> {
  const server = await CuttingServer.start(bytes, "reset");
  t.after(() => server.close());
  return server.port;
}

/** Returns the bodies that look whole, read at once or late. */
async function wholeBodies(
  port: number,
  lateMs: number,
): Promise<readonly string[]> {
  const bodies: string[] = [];
  for (let sent = 0; sent < REQUESTS; sent++) {
    const outgoing = clientRequest({ host: LOCALHOST, port });
    outgoing.end();
    const [incoming]: IncomingMessage[] = await once(outgoing, "response");
    // `once` no longer listens.
    outgoing.on("error", () => {});
    if (lateMs > 0) await pause(lateMs);
    await text(incoming!).then((body) => bodies.push(body), () => {});
  }
  return bodies;
}

const PARTS: Readonly<Record<string, string>> = {
  "without a length": `${HEAD}\r\n${BODY}`,
  "with a length": `${HEAD}Content-Length: 10\r\n\r\n${BODY}`,
  "in chunks": `${HEAD}Transfer-Encoding: chunked\r\n\r\n6\r\n${BODY}\r\n`,
};

const WHOLE: Readonly<Record<string, string>> = {
  "with a length": `${HEAD}Content-Length: 6\r\n\r\n${BODY}`,
  "in chunks":
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n6\r\n${BODY}\r\n0\r\n\r\n`,
};

for (const [reader, lateMs] of [["at once", 0], ["late", LATE_MS]] as const) {
  for (const [framing, bytes] of Object.entries(PARTS)) {
    // Guards against a part that passes for the whole.
    test(`a part ${framing} that is reset and read ${reader} is not whole`, async (t) => {
      const port = await startResetting(t, bytes);
      assert.deepEqual(await wholeBodies(port, lateMs), []);
    });
  }

  for (const [framing, bytes] of Object.entries(WHOLE)) {
    // Guards against a whole response that is lost as its connection is reset later.
    test(`a body ${framing} that a reset follows and is read ${reader} is whole`, async (t) => {
      const port = await startResetting(t, bytes);
      const bodies = await wholeBodies(port, lateMs);
      assert.deepEqual(bodies, Array(REQUESTS).fill(BODY));
    });
  }
}
