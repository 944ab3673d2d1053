import assert from "node:assert/strict";
import { test } from "node:test";
import {
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
} from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";

/** Responses that end with their heads (RFC 9112, section 6.3). */
const BODILESS = [
  ["GET", "204 No Content"],
  ["HEAD", "200 OK"],
] as const;

for (const [method, status] of BODILESS) {
  // Guards against a whole response that is refused as its runner ends later.
  test(`a response to ${method} of ${status} is whole though its runner ends`, async (t) => {
    const runner: FakeRunner = await startFakeRunner(
      t,
      "r-1",
      (socket, _, id) => {
        socket.write(`HTTP/1.1 ${status}\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n`);
        void runner.end();
      },
    );
    const route = { streaming: true, repetition: "never" } as const;
    const router = await startSingleRouteRouter(t, route, [runner]);
    const response = await sendRequest(router, { method });
    assert.equal(response.status, Number(status.slice(0, 3)));
    assert.equal(response.truncated, false);
  });
}
