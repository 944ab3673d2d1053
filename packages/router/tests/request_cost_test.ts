import assert from "node:assert/strict";
import type { TestContext } from "node:test";
import { test } from "node:test";
import type { SchedulingSetting } from "../src/process/scheduling_mode.ts";
import type { Router } from "../src/router.ts";
import {
  encodeChunk,
  runnerResponse,
  sendRequest,
  SettableFeed,
  startFakeRunner,
  startRouter,
  streamHead,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";
import type { RequestHandler } from "./fixtures.ts";

const WORKSPACES = Array.from({ length: 12 }, (_, index) => ({
  name: `w-${index}`,
  keys: [`k-${index}`],
  tier: undefined,
}));
const FLOW = { service: "service", rank: 0, workspace: "w-0" };

async function startScheduling(
  t: TestContext,
  scheduling: SchedulingSetting,
  handle: RequestHandler,
  options: { readonly streaming?: boolean } = {},
): Promise<Router> {
  const { runner } = await startFakeRunner(t, "r", handle);
  const streaming = options.streaming ?? false;
  const engine = {
    slots: 8,
    memoryTokens: 10_000,
    eventTokens: 5,
    fetchMsPerToken: undefined,
  };
  const router = await startRouter(t, {
    configurations: new SettableFeed([
      testConfiguration([testRoute({ streaming, maxAttempts: 1 })], {
        workspaces: WORKSPACES,
        services: [{
          name: "service",
          maxConnections: 100,
          engine: streaming ? engine : undefined,
        }],
      }),
    ]),
    runners: new SettableFeed([runner]),
    settings: { scheduling: { scheduling, pressure: false } },
  });
  await waitUntil(() => router.ready);
  return router;
}

const answer: RequestHandler = (socket, _, id) =>
  void socket.write(runnerResponse(id, "done"));

function send(router: Router, key: string) {
  return sendRequest(router, { headers: { "x-key": key } });
}

test("requests are accounted to workspaces, with bounded labels", async (t) => {
  const router = await startScheduling(t, "adaptive", answer);
  for (const { keys } of WORKSPACES) await send(router, keys[0]!);
  const text = await router.metrics.text();
  const shares = text.split("\n").filter((line) =>
    line.startsWith("umbermast_workspace_share{")
  );
  assert.equal(shares.length, 11);
  assert.ok(shares.some((line) => line.includes('workspace="other"')));
});

test("nothing is accounted where scheduling is basic", async (t) => {
  const router = await startScheduling(t, "basic", answer);
  await send(router, "k-0");
  assert.deepEqual(router.shares.observed(performance.now()), []);
  assert.deepEqual(router.shares.takeUpdates(), []);
});

// Guards against workspaces that pay for refusals: one whose requests are refused
// would then get less than others.
test("a request that the runner refuses costs nothing", async (t) => {
  const router = await startScheduling(t, "adaptive", (socket, _, id) => {
    const headers = "X-Not-Run: 1\r\n";
    const status = "503 Service Unavailable";
    socket.write(runnerResponse(id, "full", { status, headers }));
  });
  await send(router, "k-0");
  assert.deepEqual(router.shares.observed(performance.now()), []);
});

test("a stream costs its prompt and ten for each generated token", async (t) => {
  const router = await startScheduling(t, "adaptive", (socket, _, id) => {
    socket.write(streamHead(id));
    for (let event = 1; event <= 3; event += 1) {
      socket.write(encodeChunk(`id: ${event}\ndata: x\n\n`));
    }
    socket.write(encodeChunk(""));
  }, { streaming: true });
  await send(router, "k-0");
  await waitUntil(() => router.shares.typicalCost(FLOW) === 150);
});
