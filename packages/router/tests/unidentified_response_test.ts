import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import type { Route } from "../src/version/configuration.ts";
import {
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
} from "./fixtures.ts";

/** Delay in ms of a runner's own response to the second request. */
const WORK_MS = 50;

/**
 * Returns what the caller of a second request gets whose runner sends bytes that name
 * no request before its own response, and the requests that the runner ran.
 */
async function secondOnConnection(
  t: TestContext,
  extra: string,
  route: Partial<Route>,
) {
  let ran = 0;
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    ran += 1;
    const response = runnerResponse(id, `of ${id}`);
    if (ran === 1) return void socket.write(response);
    if (ran === 2) socket.write(extra);
    setTimeout(() => socket.write(response), WORK_MS);
  });
  const router = await startSingleRouteRouter(t, route, [runner]);
  const first = await sendRequest(router, { headers: { "x-id": "first" } });
  assert.equal(first.body, "of first");
  const second = await sendRequest(router, { headers: { "x-id": "second" } });
  return { second, ran };
}

function unidentified(status: string, headers = ""): string {
  return `HTTP/1.1 ${status}\r\n${headers}Content-Length: 0\r\n\r\n`;
}

const RESPONSES: Readonly<Record<string, string>> = {
  "a refusal": unidentified("503 Service Unavailable"),
  "a statement that it has not run": unidentified(
    "503 Service Unavailable",
    "X-Not-Run: 1\r\n",
  ),
  "a statement of another runner": unidentified("421 Misdirected Request"),
  "a success": unidentified("200 OK", "X-Seal: s\r\n"),
};

// Guards against an untrue "not run", a second run and another request's answer: bytes
// that a runner sends late arrive where the next response is expected.
for (const [name, extra] of Object.entries(RESPONSES)) {
  test(`${name} without an id is no response to the request`, async (t) => {
    const { second, ran } = await secondOnConnection(t, extra, {
      maxAttempts: 2,
    });
    assert.equal(second.status, 502);
    assert.equal(ran, 2);
  });
}

test("a request without an id gets the response without one", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket) => {
    socket.write(unidentified("400 Bad Request"));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  const response = await sendRequest(router, { headers: { "x-id": "" } });
  assert.equal(response.status, 400);
});
