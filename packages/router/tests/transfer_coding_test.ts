import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import {
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
} from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";

const FIRST = "id: 1\ndata: a\n\n";
/** Time in ms in which a part of a response reaches the router. */
const DELIVERY_MS = 30;

/** Transfer codings whose last one is not "chunked": the body ends with its connection. */
const CODINGS = [
  "gzip",
  "chunked, gzip",
  "chunked\r\nTransfer-Encoding: gzip",
  "chunked\t",
  "xchunked",
  "identity",
] as const;

/** Sends a request to a runner that ends after a part of its response. */
async function sendToCrashing(
  t: TestContext,
  coding: string,
  streaming: boolean,
) {
  const runner: FakeRunner = await startFakeRunner(
    t,
    "r-1",
    (socket, _, id) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n` +
          `Transfer-Encoding: ${coding}\r\n\r\n${FIRST}`,
      );
      setTimeout(() => runner.end(), DELIVERY_MS);
    },
  );
  const route = { streaming, repetition: "never" } as const;
  return await sendRequest(await startSingleRouteRouter(t, route, [runner]));
}

for (const coding of CODINGS) {
  // Guards against a part that passes for the whole, as a transfer coding without
  // "chunked" at its end is taken to state where the body ends.
  test(`a stream in ${JSON.stringify(coding)} whose runner crashes is not whole`, async (t) => {
    const { status, truncated } = await sendToCrashing(t, coding, true);
    assert.ok(status !== 200 || truncated);
  });

  // Guards against the same with a length that the router states.
  test(
    `a response in ${
      JSON.stringify(coding)
    } whose runner crashes states no length`,
    async (t) => {
      const { status, headers } = await sendToCrashing(t, coding, false);
      assert.ok(status !== 200 || headers["content-length"] === undefined);
    },
  );
}
