import assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { runnerAt } from "../../tests/runner_fixture.ts";
import type { Runner } from "../process/runner.ts";
import { RunnerConnections } from "./runner_connections.ts";

/** A runner that tells on which of its connections each request came. */
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

/** Sends one request and gives the port that it came from, once all is read. */
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
      // The connection is free for others once the response has closed.
      response.on("close", () => setImmediate(resolve, text));
    });
  });
}

function open(t: TestContext): RunnerConnections {
  const connections = new RunnerConnections();
  t.after(() => connections.close());
  return connections;
}

test("a connection is used again for the next request", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  assert.equal(await portOf(connections, runner), first);
});

test("a fresh request takes a connection of its own", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  const fresh = await portOf(connections, runner, { fresh: true });
  assert.notEqual(fresh, first);
});

// One connection went silent because something between both ends lost track of
// it. The idle ones went the same way, and each next request would hang on one.
test("idle connections that are dropped are not used again", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  connections.dropIdle(runner);
  assert.notEqual(await portOf(connections, runner), first);
});

// A host is replaced and its successor has the same address. A connection kept
// from before leads to a process that is gone.
test("a replaced runner does not inherit connections", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  const replaced = { ...runner, incarnation: 2 };
  assert.notEqual(await portOf(connections, replaced), first);
});

test("a runner that is no longer listed keeps no idle connections", async (t) => {
  const runner = await startRunner(t);
  const connections = open(t);
  const first = await portOf(connections, runner);
  connections.retain([]);
  assert.notEqual(await portOf(connections, runner), first);
});
