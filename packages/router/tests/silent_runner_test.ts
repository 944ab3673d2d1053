import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { Route } from "../src/version/configuration.ts";
import {
  encodeChunk,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
} from "./fixtures.ts";

/** Time in ms for which a sound runner may fall silent. */
const SILENCE_MS = 1_200;
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"] as const;

/** Streams from a runner that falls silent, beside another runner. */
async function streamThroughSilence(t: TestContext, route: Partial<Route>) {
  const begun: string[] = [];
  const startRunner = (name: string) =>
    startFakeRunner(t, name, async (socket, _, id) => {
      begun.push(name);
      socket.write(streamHead(id) + encodeChunk(EVENTS[0]));
      await pause(SILENCE_MS);
      socket.write(`${encodeChunk(EVENTS[1])}0\r\n\r\n`);
    });
  const runners = [await startRunner("r-1"), await startRunner("r-2")];
  const router = await startSingleRouteRouter(t, {
    streaming: true,
    targetMs: 300,
    gapTargetMs: 200,
    timeoutMs: 5_000,
    ...route,
  }, runners);
  return { response: await sendRequest(router), begun, router };
}

// Guards against a stream that is broken off because its runner is silent for a second.
test("a stream goes on when its runner has been silent for a second", async (t) => {
  const { response, router } = await streamThroughSilence(t, {});
  assert.equal(response.body, EVENTS.join(""));
  assert.equal(router.paths.lost, 0);
});

// Guards against a second run beside a silent runner, which does not notice in time that
// its connection was closed.
test("a stream that may be resumed is not resumed for a second of silence", async (t) => {
  const { response, begun } = await streamThroughSilence(t, {
    repetition: "resumable",
    maxAttempts: 2,
  });
  assert.equal(response.body, EVENTS.join(""));
  assert.equal(begun.length, 1, begun.join(","));
});
