import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { TestContext } from "node:test";
import {
  encodeChunk,
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
} from "./fixtures.ts";
import type { CallerResponse } from "./fixtures.ts";

const TIMEOUT_MS = 20_000;
/** Time in ms in which a stream that cannot continue has ended. */
const MAX_END_MS = 5_000;
const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const LAST_CHUNK = encodeChunk("");

/** Returns the response whose stream breaks off after its first event. */
function brokenStream(id: string): string {
  return streamHead(id) + encodeChunk(FIRST);
}

/** Returns the text of a runner's response to a request with this id. */
type Response = (id: string) => string;

/**
 * Returns what a caller gets whose stream breaks off after an event, and how long
 * that takes.
 *
 * @param responses what the runners respond that are to continue the stream, in turn.
 */
async function callerOfBrokenStream(
  t: TestContext,
  responses: readonly Response[],
): Promise<CallerResponse> {
  let continued = 0;
  const runners = await Promise.all(
    ["r-1", "r-2", "r-3"].map((name) =>
      startFakeRunner(t, name, (socket, request, id) => {
        if (!/last-event-id: 1/i.test(request)) {
          return void socket.write(brokenStream(id), () => socket.destroy());
        }
        const response = responses[continued];
        continued += 1;
        if (response === undefined) return void socket.destroy();
        socket.write(response(id));
        // Ends a response without a length.
        if (!/content-length|chunked/i.test(response(id))) socket.end();
      })
    ),
  );
  const route = {
    streaming: true,
    repetition: "resumable",
    timeoutMs: TIMEOUT_MS,
    maxAttempts: responses.length + 1,
  } as const;
  const router = await startSingleRouteRouter(t, route, runners);
  const headers = { "x-deadline": String(TIMEOUT_MS) };
  const response = await Promise.race([
    sendRequest(router, { headers }),
    pause(MAX_END_MS, undefined, { ref: false }),
  ]);
  assert.ok(response !== undefined, "the stream has not ended");
  assert.equal(response.status, 200);
  return response;
}

function withStatus(status: string, headers = ""): Response {
  return (id) => runnerResponse(id, "{}", { status, headers });
}

const UNUSABLE: Readonly<Record<string, Response>> = {
  "status 500": withStatus("500 Internal Server Error"),
  "status 404": withStatus("404 Not Found"),
  "status 429": withStatus("429 Too Many Requests"),
  "status 504": withStatus("504 Gateway Timeout"),
  "status 302": withStatus("302 Found", "Location: /\r\n"),
  "a refusal": withStatus("503 Service Unavailable", "X-Not-Run: 1\r\n"),
  "status 204": (id) =>
    `HTTP/1.1 204 No Content\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n`,
  "no event": (id) => streamHead(id) + LAST_CHUNK,
  "no event and no length": (id) =>
    `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n`,
  "another status of success": (id) =>
    streamHead(id).replace("200 OK", "206 Partial Content") +
    encodeChunk(SECOND) + LAST_CHUNK,
};

// Guards against a response that is neither ended nor closed, and against a part of a
// stream that looks complete.
for (const [name, response] of Object.entries(UNUSABLE)) {
  test(`a stream that continues with ${name} is cut off at once`, async (t) => {
    const { truncated } = await callerOfBrokenStream(t, [response]);
    assert.equal(truncated, true);
  });
}

test("a stream continues at a third runner when the second fails", async (t) => {
  const { body, truncated } = await callerOfBrokenStream(t, [
    withStatus("404 Not Found"),
    (id) => streamHead(id) + encodeChunk(SECOND) + LAST_CHUNK,
  ]);
  assert.equal(truncated, false);
  assert.equal(body, FIRST + SECOND);
});

test("a stream whose runner repeats its last event is complete", async (t) => {
  const { body, truncated } = await callerOfBrokenStream(t, [
    (id) => streamHead(id) + encodeChunk(FIRST) + LAST_CHUNK,
  ]);
  assert.equal(truncated, false);
  assert.equal(body, FIRST);
});
