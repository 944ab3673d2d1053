import assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { runnerAt } from "../../tests/runner_fixture.ts";
import type { Runner } from "../process/runner.ts";
import { RunnerConnections } from "./runner_connections.ts";

/** Starts a runner that responds with the remote port of each request. */
async function startRunner(t: TestContext): Promise<Runner> {
  const server = http.createServer((request, response) => {
    request.resume();
    response.end(String(request.socket.remotePort));
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return runnerAt("drafting-llm-1", port);
}

/** Sends one request and returns its local port, after reading the response. */
function portOf(
  connections: RunnerConnections,
  runner: Runner,
  options: { readonly fresh?: boolean } = {},
): Promise<string> {
  return new Promise((resolve, reject) => {
    const sent = connections.send(runner, {
      method: "GET",
      path: "/",
      headers: [],
      body: new Uint8Array(),
      fresh: options.fresh ?? false,
    });
    sent.on("error", reject);
    sent.on("response", (response) => {
      let text = "";
      response.setEncoding("utf8");
      response.on("data", (piece: string) => text += piece);
      // The connection is idle once the response has closed.
      response.on("close", () => setImmediate(resolve, text));
    });
  });
}

function open(t: TestContext): RunnerConnections {
  const connections = new RunnerConnections();
  t.after(() => connections.close());
  return connections;
}

test("reuses a connection for the next request", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  assert.equal(await portOf(connections, runner), first);
});

test("opens a new connection for a fresh request", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  const fresh = await portOf(connections, runner, { fresh: true });
  assert.notEqual(fresh, first);
});

// An intermediary has lost the state of a connection and of the idle ones, so
// each following request would hang on one of them.
test("does not reuse idle connections that were dropped", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  connections.dropIdle(runner);
  assert.notEqual(await portOf(connections, runner), first);
});

// A host is replaced by one with the same address. A connection that was opened
// before leads to a process that no longer exists.
test("a replaced runner does not inherit connections", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  const replaced = { ...runner, incarnation: 2 };
  assert.notEqual(await portOf(connections, replaced), first);
});

test("closes the idle connections of a runner that is no longer listed", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  connections.retain([]);
  assert.notEqual(await portOf(connections, runner), first);
});
