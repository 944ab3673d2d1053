import assert from "node:assert/strict";
import { test } from "node:test";
import {
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  waitUntil,
} from "./fixtures.ts";

/** Time in ms between two pieces, less than that after which idle connections close. */
const PIECE_MS = 20;
/** Time in ms in which a connection with such bytes closes. */
const MAX_CLOSE_MS = 10_000;

// Guards against bytes that are read, and belong to nobody, for as long as they come.
test("a kept connection on which bytes arrive without a request is closed", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(runnerResponse(id, "whole"));
    const timer = setInterval(() => socket.write("more"), PIECE_MS);
    socket.once("close", () => clearInterval(timer));
  });
  const router = await startSingleRouteRouter(t, {}, [runner]);
  assert.equal((await sendRequest(router)).body, "whole");
  await waitUntil(() => runner.closed > 0, { maxMs: MAX_CLOSE_MS });
});
