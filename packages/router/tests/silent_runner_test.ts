import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { RouterSettings } from "../src/process/settings.ts";
import type { Route } from "../src/version/configuration.ts";
import {
  encodeChunk,
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
} from "./fixtures.ts";

/** Time in ms for which a sound runner may fall silent. */
const SILENCE_MS = 1_200;
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"] as const;

/** Streams from a runner that falls silent, beside another runner by default. */
async function streamThroughSilence(
  t: TestContext,
  route: Partial<Route>,
  options: {
    readonly silenceMs?: number;
    readonly names?: readonly string[];
    readonly settings?: Partial<RouterSettings>;
  } = {},
) {
  const { silenceMs = SILENCE_MS, names = ["r-1", "r-2"], settings } = options;
  const begun: string[] = [];
  const startRunner = (name: string) =>
    startFakeRunner(t, name, async (socket, _, id) => {
      begun.push(name);
      socket.write(streamHead(id) + encodeChunk(EVENTS[0]));
      await pause(silenceMs);
      socket.write(`${encodeChunk(EVENTS[1])}0\r\n\r\n`);
    });
  const runners = await Promise.all(names.map(startRunner));
  const router = await startSingleRouteRouter(
    t,
    {
      streaming: true,
      targetMs: 300,
      gapTargetMs: 200,
      timeoutMs: 5_000,
      ...route,
    },
    runners,
    {},
    { settings },
  );
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

const RESUMABLE = { repetition: "resumable", maxAttempts: 2 } as const;
/** Time in ms after which a silent runner's stream continues at another one. */
const LONG_SILENCE_MS = 2_200;

// Guards against a stream that is given up before it is known that another attempt may
// be made.
test("a silent runner's stream goes on when the budget of retries is used up", async (t) => {
  const { response, begun } = await streamThroughSilence(t, RESUMABLE, {
    silenceMs: LONG_SILENCE_MS,
    settings: { retries: { ratio: 0, extra: 0, windowMs: 10_000 } },
  });
  assert.equal(response.body, EVENTS.join(""));
  assert.equal(begun.length, 1);
});

test("a silent runner's stream goes on when there is no other runner", async (t) => {
  const { response, begun } = await streamThroughSilence(t, RESUMABLE, {
    silenceMs: LONG_SILENCE_MS,
    names: ["r-1"],
  });
  assert.equal(response.body, EVENTS.join(""));
  assert.equal(begun.length, 1);
});

/** Sends a request whose first runner takes longer than its route's target. */
async function sendThroughDelay(
  t: TestContext,
  options: { readonly names: readonly string[]; readonly extra: number },
) {
  let runs = 0;
  const startRunner = (name: string) =>
    startFakeRunner(t, name, async (socket, _, id) => {
      runs += 1;
      if (runs === 1) await pause(SILENCE_MS);
      socket.write(runnerResponse(id, "done"));
    });
  const runners = await Promise.all(options.names.map(startRunner));
  const retries = { ratio: 0, extra: options.extra, windowMs: 10_000 };
  const router = await startSingleRouteRouter(
    t,
    { repetition: "idempotent", maxAttempts: 2, targetMs: 300 },
    runners,
    {},
    { settings: { retries } },
  );
  const { body } = await sendRequest(router);
  return { body, runs };
}

test("a request that takes long is tried at another runner", async (t) => {
  const options = { names: ["r-1", "r-2"], extra: 100 };
  const result = await sendThroughDelay(t, options);
  assert.deepEqual(result, { body: "done", runs: 2 });
});

test("a request that takes long is waited for when the budget is used up", async (t) => {
  const options = { names: ["r-1", "r-2"], extra: 0 };
  const result = await sendThroughDelay(t, options);
  assert.deepEqual(result, { body: "done", runs: 1 });
});

test("a request that takes long is waited for when there is no other runner", async (t) => {
  const result = await sendThroughDelay(t, { names: ["r-1"], extra: 100 });
  assert.deepEqual(result, { body: "done", runs: 1 });
});
