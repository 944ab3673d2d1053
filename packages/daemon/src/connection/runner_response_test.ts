import assert from "node:assert/strict";
import { once } from "node:events";
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Effect from "effect/Effect";
import { startRunner } from "../../tests/runner_fixture.ts";
import type { FixtureRunner } from "../../tests/runner_fixture.ts";
import { RunnerConnections } from "./runner_connections.ts";
import { exchange, RunnerResponse } from "./runner_response.ts";

const LONG_MS = 60_000;

async function open() {
  const server = http.createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const requested = once(server, "request");
  const request = http.get({ port, host: "127.0.0.1" });
  const [, outgoing] = await requested as [unknown, http.ServerResponse];
  outgoing.write("one");
  const [response] = await once(request, "response") as [http.IncomingMessage];
  return {
    runnerResponse: new RunnerResponse(response),
    outgoing,
    response,
    server,
  };
}

// The caller reads slowly, so no read loop runs while the runner sends more and
// its connection is lost. If the buffered chunks are not returned exactly once
// before the error, the caller misses tokens or gets a token twice.
test("returns chunks buffered before a lost connection once, then the error", async () => {
  const { runnerResponse, outgoing, response, server } = await open();
  const first = await Effect.runPromise(runnerResponse.next(LONG_MS));
  const closed = new Promise((resolve) => response.once("close", resolve));
  outgoing.write("two", () => outgoing.destroy());
  await closed;
  const second = await Effect.runPromise(runnerResponse.next(LONG_MS));
  const end = await Effect.runPromise(
    Effect.flip(runnerResponse.next(LONG_MS)),
  );
  assert.deepEqual([String(first), String(second)], ["one", "two"]);
  assert.deepEqual(end, { _tag: "ResponseInterrupted", reason: "reset" });
  server.close();
});

test("passes chunks to one read loop one by one, and then ends", async () => {
  const { runnerResponse, outgoing, server } = await open();
  const chunks: string[] = [];
  const ended = await Effect.runPromise(
    runnerResponse.forEachChunk(LONG_MS, (chunk) => {
      chunks.push(String(chunk));
      if (chunks.length === 1) outgoing.write("two");
      else outgoing.end();
      return true;
    }),
  );
  assert.equal(ended, true);
  assert.deepEqual(chunks, ["one", "two"]);
  server.close();
  server.closeAllConnections();
});

/** Sends a request, and returns the response once its head was received. */
async function responseOf(t: TestContext, { runner, close }: FixtureRunner) {
  const connections = new RunnerConnections();
  t.after(async () => {
    connections.close();
    await close();
  });
  const request = {
    method: "GET",
    path: "/",
    headers: [],
    body: new Uint8Array(),
    fresh: true,
  };
  const limits = { connectMs: LONG_MS, headMs: LONG_MS };
  const sent = exchange({ connections, runner }, request, limits);
  return await Effect.runPromise(sent);
}

// Guards against an end that Node reports after the error of a reset.
test("a body without a length that is reset after its part was read is interrupted", async (t) => {
  let socket: Socket | undefined;
  const runner = await startRunner("a", (exchanged) => {
    socket = exchanged.socket;
    socket.write("HTTP/1.1 200 OK\r\n\r\npart");
  });
  const response = await responseOf(t, runner);
  const part = await Effect.runPromise(response.next(LONG_MS));
  socket?.resetAndDestroy();
  const end = await Effect.runPromise(Effect.flip(response.next(LONG_MS)));
  assert.deepEqual([String(part), end.reason], ["part", "reset"]);
});

// Guards against a reset right behind a part, of which Node shows an ordinary end.
test("a body without a length that is reset with its part is interrupted", async (t) => {
  const runner = await startRunner("a", ({ socket }) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\npart");
    socket.resetAndDestroy();
  });
  const response = await responseOf(t, runner);
  const part = await Effect.runPromise(response.next(LONG_MS));
  const end = await Effect.runPromise(Effect.flip(response.next(LONG_MS)));
  assert.deepEqual([String(part), end.reason], ["part", "reset"]);
});

// Guards against an end that is taken for a reset.
test("a body without a length that is closed with its last part is whole", async (t) => {
  const runner = await startRunner("a", ({ socket }) => {
    socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
  });
  const response = await responseOf(t, runner);
  const body = await Effect.runPromise(response.next(LONG_MS));
  const end = await Effect.runPromise(response.next(LONG_MS));
  assert.deepEqual([String(body), end], ["whole", undefined]);
});

// Guards against a whole answer that is taken for cut as its connection is reset.
test("a body with a length that is reset before it is read is whole", async (t) => {
  const runner = await startRunner("a", ({ socket }) => {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
    socket.resetAndDestroy();
  });
  const response = await responseOf(t, runner);
  await new Promise((done) => response.message.socket.once("close", done));
  const body = await Effect.runPromise(response.next(LONG_MS));
  const end = await Effect.runPromise(response.next(LONG_MS));
  assert.deepEqual([String(body), end], ["whole", undefined]);
});
