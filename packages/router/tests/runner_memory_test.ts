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
import type { FakeRunner } from "./fixtures.ts";

const ENGINE = {
  slots: 8,
  memoryTokens: 100_000,
  eventTokens: 4,
  fetchMsPerToken: undefined,
};
const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const TOKENS = { "x-tokens": "30000" };
/** Requests of 30,000 tokens that an engine has memory for. */
const FITTING = 3;

/** An engine that records how many requests it held at once. */
class CountingEngine {
  readonly runner: FakeRunner;
  held = 0;
  most = 0;

  private constructor(runner: FakeRunner) {
    this.runner = runner;
  }

  /** @param breaks whether it breaks off first tries after one event. */
  static async start(
    t: TestContext,
    id: string,
    { breaks = false, ms = 50 } = {},
  ): Promise<CountingEngine> {
    const engine: CountingEngine = new CountingEngine(
      await startFakeRunner(t, id, async (socket, request, requestId) => {
        engine.held += 1;
        engine.most = Math.max(engine.most, engine.held);
        socket.write(streamHead(requestId) + encodeChunk(EVENTS[0]!));
        await pause(ms);
        engine.held -= 1;
        const broken = breaks && request.includes("x-breaks");
        if (broken) return void socket.resetAndDestroy();
        socket.write(encodeChunk(EVENTS[1]!) + "0\r\n\r\n");
      }),
    );
    return engine;
  }
}

function startEngineRouter(
  t: TestContext,
  engines: readonly CountingEngine[],
  route: Partial<Route> = {},
) {
  const services = [{ name: "service", maxConnections: 1_000, engine: ENGINE }];
  return startSingleRouteRouter(
    t,
    { streaming: true, timeoutMs: 10_000, patienceMs: 10_000, ...route },
    engines.map(({ runner }) => runner),
    { services },
    { settings: { scheduling: { scheduling: "adaptive", pressure: false } } },
  );
}

// Guards against requests that find the same free memory: all that wait check at the
// same moment, and those without a prompt hash used to pass admission.
for (const [kind, prompt] of [["with", "p"], ["without", ""]] as const) {
  test(`requests ${kind} a prompt hash that come together keep to the memory`, async (t) => {
    const engine = await CountingEngine.start(t, "r-1");
    const router = await startEngineRouter(t, [engine]);
    const headers = prompt === "" ? TOKENS : { ...TOKENS, "x-prompt": prompt };
    const responses = await Promise.all(
      Array.from({ length: 20 }, () => sendRequest(router, { headers })),
    );
    assert.ok(responses.every(({ body }) => body === EVENTS.join("")));
    assert.ok(engine.most <= FITTING, `${engine.most} requests`);
    // Else the test would pass with one request after the other.
    assert.ok(engine.most > 1);
  });
}

// Guards against retries and resumed streams that pass admission: streams break off
// at one engine while the other one is full, and more of them wait than it has memory
// for once its own ones end.
test("streams that are resumed wait for memory", async (t) => {
  const failing = await CountingEngine.start(t, "r-1", { breaks: true });
  const other = await CountingEngine.start(t, "r-2", { ms: 200 });
  const router = await startEngineRouter(t, [failing, other], {
    repetition: "resumable",
    maxAttempts: 2,
  });
  const responses = await Promise.all(
    Array.from(
      { length: 3 * FITTING },
      () => sendRequest(router, { headers: { ...TOKENS, "x-breaks": "1" } }),
    ),
  );
  assert.ok(failing.most > 0);
  assert.ok(responses.every(({ body }) => body === EVENTS.join("")));
  assert.ok(other.most <= FITTING, `${other.most} requests`);
});

// Guards against an engine that crashes under one request, and against a caller that
// waits and comes back in vain.
test("a request beyond the memory of an engine is refused at once", async (t) => {
  const engine = await CountingEngine.start(t, "r-1");
  const router = await startEngineRouter(t, [engine]);
  const response = await sendRequest(router, {
    headers: { "x-tokens": "100001" },
  });
  assert.deepEqual([response.status, response.body], [
    413,
    '{"error":"memory_exceeded"}',
  ]);
  assert.equal(engine.runner.requests.length, 0);
});
