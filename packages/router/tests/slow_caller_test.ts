import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { bufferLimits } from "../src/process/buffer_budget.ts";
import type { BufferLimits } from "../src/process/buffer_budget.ts";
import type { EventLog } from "../src/process/event_log.ts";
import type { Fields } from "../src/process/log_line.ts";
import type { Router } from "../src/router.ts";
import type { Route } from "../src/version/configuration.ts";
import {
  encodeChunk,
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
  waitUntil,
} from "./fixtures.ts";
import { measureProcessorTime } from "./processor_time.ts";

const MB = 1024 * 1024;
/**
 * Deadline of the requests in ms. With the dialect's 5 s, 56 of 60 streams ended by
 * it with a third of a core, before there were the cuts that the test waits for.
 */
const DEADLINE_MS = 80_000;
const STREAM = { streaming: true, timeoutMs: DEADLINE_MS };
/** Longest time in ms that a caller that reads waits for its answer. */
const MAX_READER_MS = 5_000;
const EVENT_BYTES = 640;
const EVENTS = 10_000;

/** Returns events of an answer of 6.4 MB; each names the request. */
function largeEvents(id: string): string {
  let events = "";
  for (let event = 1; event <= EVENTS; event += 1) {
    events += `id: ${event}\ndata: ${id}`.padEnd(EVENT_BYTES - 2, ".") + "\n\n";
  }
  return events;
}

class DecisionLog implements EventLog {
  readonly lines: (Fields & { readonly name: string; readonly id: string })[] =
    [];

  event(): void {}

  decision(name: string, id: string, fields: Fields): void {
    this.lines.push({ ...fields, name, id });
  }

  named(name: string) {
    return this.lines.filter((line) => line.name === name);
  }
}

/** A router with bounded buffers, whose runner sends all of an answer at once. */
class BoundedRouter {
  readonly router: Router;
  readonly log: DecisionLog;
  /** Connections to the runner. */
  readonly runnerSockets: Set<Socket>;

  private constructor(
    router: Router,
    log: DecisionLog,
    runnerSockets: Set<Socket>,
  ) {
    this.router = router;
    this.log = log;
    this.runnerSockets = runnerSockets;
  }

  static async start(
    t: TestContext,
    route: Partial<Route>,
    buffers: BufferLimits,
    respond: (id: string) => string,
  ): Promise<BoundedRouter> {
    const log = new DecisionLog();
    const sockets = new Set<Socket>();
    const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
      sockets.add(socket);
      // Only the first part of a body has the head with the id.
      if (id !== "") socket.write(respond(id));
    });
    const services = [
      { name: "service", maxConnections: 10_000, engine: undefined },
    ];
    const limits = {
      maxHeaderBytes: 16_384,
      maxBodyBytes: MB,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 10_000,
    };
    const router = await startSingleRouteRouter(
      t,
      route,
      [runner],
      { services, limits },
      { settings: { buffers, holdsStreams: true }, log },
    );
    return new BoundedRouter(router, log, sockets);
  }

  /** Sends a request and reads nothing of its answer. */
  connect(t: TestContext, id: string, more = ""): Socket {
    const socket = connect(this.router.callersPort, "127.0.0.1");
    t.after(() => socket.destroy());
    socket.on("error", () => {});
    socket.pause();
    const method = more === "" ? "GET" : "POST";
    socket.write(`${method} / HTTP/1.1\r\nHost: test\r\nX-Id: ${id}\r\n`);
    socket.write(`X-Deadline: ${DEADLINE_MS}\r\n${more}\r\n`);
    return socket;
  }

  /** Counts the decisions by their names and what they state. */
  describe(): string {
    const counts = new Map<string, number>();
    for (const { name, outcome, reason, limit } of this.log.lines) {
      const key = [name, outcome, reason, limit].filter((part) => part).join();
      counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return JSON.stringify(Object.fromEntries(counts));
  }

  get buffered(): number {
    const { bodies, answers } = this.router.buffers.buffered;
    return bodies + answers;
  }
}

function respondStream(id: string): string {
  return streamHead(id) + encodeChunk(largeEvents(id)) + "0\r\n\r\n";
}

/** Reads a response to its end. */
async function readAll(socket: Socket): Promise<string> {
  const chunks: Buffer[] = [];
  socket.on("data", (chunk) => chunks.push(chunk));
  await once(socket, "close");
  return Buffer.concat(chunks).toString("latin1");
}

/** Returns the body of a chunked response that is complete. */
function dechunk(response: string): string {
  let body = "";
  let at = response.indexOf("\r\n\r\n") + 4;
  for (;;) {
    const end = response.indexOf("\r\n", at);
    const size = parseInt(response.slice(at, end), 16);
    assert.ok(size >= 0, "the response is not complete");
    if (size === 0) return body;
    body += response.slice(end + 2, end + 2 + size);
    at = end + 2 + size + 2;
  }
}

// Guards against a daemon that grows with the callers that read nothing, and against
// the end of answers whose callers do read.
test("60 callers that read nothing of 6.4 MB exceed no budget and delay nobody", async (t) => {
  const limits = bufferLimits(16);
  const bounded = await BoundedRouter.start(t, STREAM, limits, respondStream);
  for (let index = 0; index < 60; index += 1) {
    bounded.connect(t, `stalled-${index}`);
  }
  let most = 0;
  const reading = new AbortController();
  const watch = (async () => {
    while (!reading.signal.aborted) {
      most = Math.max(most, bounded.buffered);
      await pause(5);
    }
  })();
  await waitUntil(() => bounded.log.named("answer_cut").length >= 20, {
    describe: () => bounded.describe(),
  });
  const processorTime = measureProcessorTime();
  const response = await sendRequest(bounded.router, {
    headers: { "x-id": "reader", "x-deadline": String(DEADLINE_MS) },
  });
  const { elapsedMs, waitedMs } = processorTime();
  reading.abort();
  await watch;
  t.diagnostic(`reader: ${elapsedMs} ms, ${waitedMs} ms without a processor`);
  assert.ok(elapsedMs - waitedMs <= MAX_READER_MS, `${elapsedMs} ms`);
  assert.equal(response.truncated, false);
  assert.ok(response.body === largeEvents("reader"));
  const cut = bounded.log.named("answer_cut").map(({ id }) => id);
  assert.ok(cut.every((id) => id.startsWith("stalled-")), String(cut));
  const timeouts = bounded.log.named("request_ended")
    .filter(({ reason }) => reason === "timeout");
  assert.deepEqual(timeouts, []);
  t.diagnostic(`${cut.length} answers cut, at most ${most / MB} MB buffered`);
  assert.ok(most <= 12 * MB + 60 * 64 * 1024, `${most / MB} MB`);
});

// Guards against a runner that cuts off its response, because the router stopped
// reading it for a caller that reads later.
test("a runner is read to the end for a slow caller, who gets the whole answer", async (t) => {
  const bounded = await BoundedRouter.start(
    t,
    STREAM,
    bufferLimits(16),
    respondStream,
  );
  const socket = bounded.connect(t, "slow", "Connection: close\r\n");
  const [runner] = await (async () => {
    await waitUntil(() => bounded.log.named("request_ended").length === 1);
    return [...bounded.runnerSockets];
  })();
  assert.equal(runner!.writableLength, 0);
  assert.equal(socket.bytesRead, 0);
  const unread = bounded.buffered;
  assert.ok(unread > MB, `${unread} bytes`);
  assert.match(
    await bounded.router.metrics.text(),
    new RegExp(`umbermast_buffered_bytes\\{kind="answer"\\} ${unread}\n`),
  );
  const body = dechunk(await readAll(socket.resume()));
  assert.ok(body === largeEvents("slow"));
  assert.equal(bounded.buffered, 0);
});

test("the answer of a caller over its part is cut, and others go on", async (t) => {
  const limits = { totalBytes: 4 * MB, callerBytes: MB };
  const bounded = await BoundedRouter.start(t, STREAM, limits, respondStream);
  const stalled = bounded.connect(t, "stalled");
  const others = ["other-1", "other-2"].map((id) =>
    sendRequest(bounded.router, {
      headers: { "x-id": id, "x-deadline": String(DEADLINE_MS) },
    })
  );
  const outcomes = () => bounded.log.named("request_ended");
  await waitUntil(() => outcomes().length === 3, {
    describe: () => bounded.describe(),
  });
  for (const { truncated } of await Promise.all(others)) {
    assert.equal(truncated, false);
  }
  assert.doesNotMatch(await readAll(stalled.resume()), /0\r\n\r\n$/);
  const lines = bounded.log.named("answer_cut");
  assert.deepEqual(lines.map(({ id, limit }) => [id, limit]), [
    ["stalled", "caller"],
  ]);
  const ended = outcomes().find(({ id }) => id === "stalled");
  assert.deepEqual([ended?.["outcome"], ended?.["reason"]], [
    "broken",
    "answer cut",
  ]);
  assert.equal(bounded.buffered, 0);
});

test("a whole answer is held for a slow caller; one without room ends in 502", async (t) => {
  const limits = { totalBytes: 4 * MB, callerBytes: 2 * MB };
  const sizes: Record<string, number> = { fits: 1.9 * MB, large: 2.5 * MB };
  const bounded = await BoundedRouter.start(
    t,
    { timeoutMs: DEADLINE_MS },
    limits,
    (id) => runnerResponse(id, "x".repeat(sizes[id]!)),
  );
  const socket = bounded.connect(t, "fits", "Connection: close\r\n");
  await waitUntil(() => bounded.log.named("request_ended").length === 1);
  const received = await readAll(socket.resume());
  assert.equal(received.split("\r\n\r\n")[1]!.length, Math.floor(1.9 * MB));
  const large = await sendRequest(bounded.router, {
    headers: { "x-id": "large", "x-deadline": String(DEADLINE_MS) },
  });
  // The request has run, so the answer must not be 503.
  assert.deepEqual([large.status, large.body], [
    502,
    '{"error":"answer_cut"}',
  ]);
  assert.equal(bounded.buffered, 0);
});

// Guards against 503 for a request that runs, and against bodies that are received
// only to be dropped.
test("a body that does not fit is refused before it is read", async (t) => {
  const limits = { totalBytes: 100_000, callerBytes: 50_000 };
  const bounded = await BoundedRouter.start(
    t,
    {},
    limits,
    (id) => runnerResponse(id, "done"),
  );
  const head = "Content-Length: 60000\r\n";
  const refused = await readAll(bounded.connect(t, "large", head).resume());
  assert.match(refused, /^HTTP\/1.1 503 /);
  assert.match(refused, /Retry-After: 0\.\d+\r\n/);
  assert.match(refused, /Connection: close\r\n/i);
  const growing = bounded.connect(
    t,
    "chunked",
    "Transfer-Encoding: chunked\r\n",
  );
  growing.write(encodeChunk("x".repeat(60_000)));
  assert.match(await readAll(growing.resume()), /^HTTP\/1.1 503 /);
  assert.equal(bounded.runnerSockets.size, 0);
  const lines = bounded.log.named("body_refused");
  assert.deepEqual(lines.map(({ id }) => id), ["large", "chunked"]);
  const small = await sendRequest(bounded.router, {
    method: "POST",
    body: "x".repeat(1_000),
  });
  assert.equal(small.body, "done");
  assert.equal(bounded.buffered, 0);
});
