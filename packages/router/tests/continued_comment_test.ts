import assert from "node:assert/strict";
import { test } from "node:test";
import {
  encodeChunk,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
} from "./fixtures.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const LAST_CHUNK = "0\r\n\r\n";
/** Time in ms in which a part of a stream reaches its caller. */
const DELIVERY_MS = 30;

// Guards against a stream that ends as complete after a piece that is not its last: an
// event without an id does not tell that a response has reached the last event relayed.
test("a response that ends before the last event relayed is not whole for a comment", async (t) => {
  let continued = 0;
  const runners = await Promise.all(
    ["r-1", "r-2", "r-3"].map((name) =>
      startFakeRunner(t, name, (socket, request, id) => {
        if (!/last-event-id: 1/i.test(request)) {
          socket.write(streamHead(id) + encodeChunk(FIRST));
          return void setTimeout(() => socket.resetAndDestroy(), DELIVERY_MS);
        }
        continued += 1;
        const body = continued === 1 ? ": keep-alive\n\n" : FIRST + SECOND;
        socket.end(streamHead(id) + encodeChunk(body) + LAST_CHUNK);
      })
    ),
  );
  const route = {
    streaming: true,
    repetition: "resumable",
    maxAttempts: 3,
  } as const;
  const router = await startSingleRouteRouter(t, route, runners);
  const { body, truncated } = await sendRequest(router);
  assert.ok(truncated || body.endsWith(SECOND), JSON.stringify(body));
});
