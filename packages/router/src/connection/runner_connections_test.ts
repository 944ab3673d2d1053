import assert from "node:assert/strict";
import { once } from "node:events";
import { request } from "node:http";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import type { TestContext } from "node:test";
import {
  runnerResponse,
  startFakeRunner,
  waitUntil,
} from "../../tests/fixtures.ts";
import type { FakeRunner } from "../../tests/fixtures.ts";
import { RunnerConnections } from "./runner_connections.ts";
import { TcpRunnerNetwork } from "./runner_network.ts";

/** Time in ms for which connections are watched. */
const HOLD_MS = 30;
/** Time in ms of a stall that is longer. */
const STALL_MS = 60;
const BODY = "x".repeat(4 * 1024 * 1024);

/** Starts a runner, and connections to it that are yet to be opened. */
async function startConnections(t: TestContext) {
  const fake = await startFakeRunner(t, "r-1", (socket, text, id) => {
    if (text.startsWith("GET /long")) socket.write(runnerResponse(id, BODY));
    if (text.startsWith("GET /short")) socket.write(runnerResponse(id, "all"));
  });
  const connections = new RunnerConnections(new TcpRunnerNetwork(), {
    connect: () => Promise.reject(new Error("no peers")),
    recordResponse() {},
    recordLeaving() {},
  });
  t.after(() => connections.retain(new Set()));
  return { fake, connections };
}

/** Sends a request on a connection of its own, or on one that is idle. */
function open(
  { runner }: FakeRunner,
  connections: RunnerConnections,
  path: string,
): Promise<IncomingMessage> {
  const agent = connections.agent(runner, {
    path: "direct",
    maxConnections: 10,
  });
  const sent = request({ agent, path, port: runner.port });
  sent.on("error", () => {});
  sent.end();
  return new Promise((resolve) => sent.once("response", resolve));
}

test("a runner without open connections does not stay connected", async (t) => {
  const { fake, connections } = await startConnections(t);
  assert.equal(await connections.stayOpen(fake.runner, HOLD_MS), false);
});

test("an idle connection that stays open shows that its runner lives", async (t) => {
  const { fake, connections } = await startConnections(t);
  const response = await open(fake, connections, "/short");
  response.resume();
  await once(response, "end");
  await waitUntil(() => connections.connectedSince(fake.runner) !== undefined);
  assert.equal(await connections.stayOpen(fake.runner, HOLD_MS), true);
});

test("connections that end in the time show no life", async (t) => {
  const { fake, connections } = await startConnections(t);
  const response = await open(fake, connections, "/short");
  response.resume();
  await once(response, "end");
  const stays = connections.stayOpen(fake.runner, HOLD_MS);
  await fake.end();
  assert.equal(await stays, false);
});

// Guards against timers that run before the end of a connection is seen.
test("connections that end in a stall of this process show no life", async (t) => {
  const { fake, connections } = await startConnections(t);
  const response = await open(fake, connections, "/short");
  response.resume();
  await once(response, "end");
  const stays = connections.stayOpen(fake.runner, HOLD_MS);
  setImmediate(() => {
    void fake.end();
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
  });
  assert.equal(await stays, false);
});

// Guards against one connection of a killed process whose end is lost on the way.
test("connections show no life if one of them ends in the time", async (t) => {
  const { fake, connections } = await startConnections(t);
  const responses = await Promise.all([
    open(fake, connections, "/long"),
    open(fake, connections, "/long"),
  ]);
  for (const response of responses) response.resume().on("error", () => {});
  const stays = connections.stayOpen(fake.runner, HOLD_MS);
  responses[0]!.destroy();
  assert.equal(await stays, false);
});

// Guards against a connection whose end is not seen, as a slow caller is waited for.
test("a connection that is not read shows no life", async (t) => {
  const { fake, connections } = await startConnections(t);
  const response = await open(fake, connections, "/long");
  response.once("readable", () => {});
  await waitUntil(() => response.socket.isPaused());
  assert.equal(await connections.stayOpen(fake.runner, HOLD_MS), false);
  response.destroy();
});
