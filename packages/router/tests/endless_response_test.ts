import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { Route } from "../src/version/configuration.ts";
import type { Router } from "../src/router.ts";
import type { CallerResponse } from "./fixtures.ts";
import { startTunnelled } from "./linked_routers.ts";
import {
  encodeChunk,
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
  waitUntil,
} from "./fixtures.ts";

const TIMEOUT_MS = 60_000;
/** Time in ms in which a response that never ends is given up. */
const MAX_END_MS = 20_000;
const EVENT = "id: 1\ndata: a\n\n";
/** Size in bytes of what is written at a time. */
const PIECE_BYTES = 64 * 1024;
/** Repetitions of an event that take more than one read of a socket. */
const BEGUN_EVENTS = 8_000;

/** Writes a text over and over, until the connection closes. */
function writeEndlessly(socket: Socket, text: string): void {
  const piece = text.repeat(Math.ceil(PIECE_BYTES / text.length));
  const write = () => {
    if (socket.destroyed) return;
    // Each in a turn of its own, so that others are served.
    socket.write(piece, () => setImmediate(write));
  };
  write();
}

/** What a runner sends: a text, and one that is repeated without end. */
interface EndlessResponse {
  readonly begin: (id: string) => string;
  readonly repeat: string;
  readonly streaming: boolean;
  /** What the caller gets; undefined for a stream that is cut off. */
  readonly status: number | undefined;
}

const sealedHead = (status: string) => (id: string) =>
  `HTTP/1.1 ${status}\r\nX-Id: ${id}\r\nX-Seal: s\r\n`;
const chunked = (status: string) => (id: string) =>
  `${sealedHead(status)(id)}Transfer-Encoding: chunked\r\n\r\n`;
const extended = (id: string) => `${chunked("200 OK")(id)}1;`;
const trailed = (id: string) =>
  `${chunked("200 OK")(id)}${encodeChunk("a")}0\r\n`;
const unframed = (id: string) => `${sealedHead("200 OK")(id)}\r\n`;
// Several reads of a socket: the caller has the event before the router reads on.
const begunStream = (id: string) =>
  streamHead(id) + encodeChunk(EVENT).repeat(BEGUN_EVENTS);
const BODY = { begin: chunked("200 OK"), streaming: false, status: 502 };
const STREAM = { begin: streamHead, streaming: true, status: 502 };
const HEAD = { begin: () => "", streaming: true, status: 502 };

const RESPONSES: Readonly<Record<string, EndlessResponse>> = {
  "interim responses": { ...HEAD, repeat: "HTTP/1.1 100 Continue\r\n\r\n" },
  "line ends before a head": { ...HEAD, repeat: "\r\n" },
  "a header value": { ...HEAD, begin: sealedHead("200 OK"), repeat: "a" },
  "headers": { ...HEAD, begin: sealedHead("200 OK"), repeat: "X-More: a\r\n" },
  "a reason phrase": { ...HEAD, begin: () => "HTTP/1.1 200 ", repeat: "a" },
  "no HTTP": { ...HEAD, repeat: "a" },
  "a plain body": { ...BODY, repeat: encodeChunk("a".repeat(4_096)) },
  "the digits of a chunk's length": { ...BODY, repeat: "0" },
  "an extension of a chunk": { ...BODY, repeat: "a", begin: extended },
  "trailers": { ...BODY, begin: trailed, repeat: "X-More: a\r\n" },
  "a trailer's value": { ...BODY, begin: trailed, repeat: "a" },
  "a body without a length": { ...BODY, begin: unframed, repeat: "a" },
  "a failure's body without a length": {
    ...BODY,
    begin: (id) => `${sealedHead("500 Internal Server Error")(id)}\r\n`,
    repeat: "a",
  },
  "a failure's trailers": {
    ...BODY,
    begin: (id) =>
      chunked("500 Internal Server Error")(id) + encodeChunk("a") + "0\r\n",
    repeat: "X-More: a\r\n",
  },
  "extended chunks of a body": {
    ...BODY,
    repeat: `1;${"a".repeat(4_096)}\r\na\r\n`,
  },
  "tiny chunks of a body": { ...BODY, repeat: encodeChunk("a") },
  "extended chunks of a failure's body": {
    ...BODY,
    begin: chunked("500 Internal Server Error"),
    repeat: `1;${"a".repeat(4_096)}\r\na\r\n`,
  },
  "tiny chunks of a failure's body": {
    ...BODY,
    begin: chunked("500 Internal Server Error"),
    repeat: encodeChunk("a"),
  },
  "a failure's body": {
    ...BODY,
    begin: chunked("500 Internal Server Error"),
    repeat: encodeChunk("a".repeat(4_096)),
  },
  "a refusal's body": {
    begin: (id) =>
      `HTTP/1.1 503 Service Unavailable\r\nX-Id: ${id}\r\nX-Not-Run: 1\r\n` +
      "Transfer-Encoding: chunked\r\n\r\n",
    repeat: encodeChunk("a".repeat(4_096)),
    streaming: false,
    status: 503,
  },
  "an extension of a stream's first chunk": {
    ...STREAM,
    begin: (id) => `${streamHead(id)}1;`,
    repeat: "a",
  },
  "an extension of a stream's second chunk": {
    ...STREAM,
    begin: (id) => `${begunStream(id)}1;`,
    repeat: "a",
    status: undefined,
  },
  "a stream's trailers": {
    ...STREAM,
    begin: (id) => `${begunStream(id)}0\r\n`,
    repeat: "X-More: a\r\n",
    status: undefined,
  },
  "extended chunks of a stream": {
    ...STREAM,
    repeat: `1;${"a".repeat(4_096)}\r\na\r\n`,
  },
  "a stream without a length": {
    ...STREAM,
    begin: (id) => `${sealedHead("200 OK")(id)}\r\n`,
    repeat: "data: a\n",
  },
  "an event": { ...STREAM, repeat: encodeChunk("a".repeat(4_096)) },
  "lines of an event": { ...STREAM, repeat: encodeChunk("data: a\n") },
  "an event after the first": {
    begin: (id) => streamHead(id) + encodeChunk(EVENT),
    repeat: encodeChunk("data: a\n"),
    streaming: true,
    status: undefined,
  },
  "the first event": {
    begin: streamHead,
    repeat: encodeChunk(EVENT),
    streaming: true,
    status: undefined,
  },
};

/** Answers path "/endless" without end, and any other path with an event. */
function respond(socket: Socket, received: string, answer: {
  readonly id: string;
  readonly response: EndlessResponse;
}): void {
  const { id, response } = answer;
  if (!received.startsWith("GET /endless")) {
    return void socket.write(runnerResponse(id, EVENT));
  }
  socket.write(response.begin(id));
  writeEndlessly(socket, response.repeat);
}

/** Starts a router whose runner answers path "/endless" without end. */
async function startEndlessRunner(
  t: TestContext,
  response: EndlessResponse,
  start: typeof startSingleRouteRouter = startSingleRouteRouter,
) {
  const runner = await startFakeRunner(
    t,
    "r-1",
    (socket, received, id) => respond(socket, received, { id, response }),
  );
  const route: Partial<Route> = {
    streaming: response.streaming,
    timeoutMs: TIMEOUT_MS,
  };
  return { runner, router: await start(t, route, [runner]) };
}

/** Requests path "/endless"; undefined if the response does not end. */
async function requestEndless(
  router: Router,
): Promise<CallerResponse | undefined> {
  return await Promise.race([
    sendRequest(router, {
      path: "/endless",
      headers: { "x-deadline": String(TIMEOUT_MS) },
    }),
    pause(MAX_END_MS, undefined, { ref: false }),
  ]);
}

const STARTS = {
  "": startSingleRouteRouter,
  " behind a peer": startTunnelled,
} as const;

// Guards against a runner that fills the memory and takes the time of a daemon, and
// with it the requests of others, until its caller leaves.
for (const [name, response] of Object.entries(RESPONSES)) {
  for (const [path, start] of Object.entries(STARTS)) {
    // In KNOWN-RED.txt:
    // "a response of an event after the first without end behind a peer is given up"
    test(`a response of ${name} without end${path} is given up`, async (t) => {
      const started = await startEndlessRunner(t, response, start);
      const { runner, router } = started;
      const received = await requestEndless(router);
      assert.ok(received !== undefined, "the response has not ended");
      if (response.status === undefined) {
        assert.equal(received.truncated, true);
      } else assert.equal(received.status, response.status);
      // Nothing more is read from the runner.
      await waitUntil(() => runner.closed > 0);
      const sound = await sendRequest(router, { headers: { "x-id": "sound" } });
      assert.equal(sound.body, EVENT);
    });
  }
}

// Guards against a request that fails with its first runner though another is sound.
for (const [name, response] of Object.entries(RESPONSES)) {
  if (response.streaming || response.status !== 502) continue;
  test(`another runner is tried after ${name} without end`, async (t) => {
    let attempts = 0;
    const runners = await Promise.all(
      ["r-1", "r-2"].map((runner) =>
        startFakeRunner(t, runner, (socket, received, id) => {
          if (!received.startsWith("GET /endless")) return;
          attempts += 1;
          if (attempts === 1) respond(socket, received, { id, response });
          else socket.write(runnerResponse(id, EVENT));
        })
      ),
    );
    const router = await startSingleRouteRouter(t, {
      repetition: "idempotent",
      maxAttempts: 2,
      targetMs: TIMEOUT_MS,
      timeoutMs: TIMEOUT_MS,
    }, runners);
    const received = await requestEndless(router);
    assert.equal(received?.status, 200);
    assert.equal(received.body, EVENT);
    assert.equal(attempts, 2);
  });
}

// Guards against a sound answer that is given up for its frames.
test("a body in chunks of one byte is whole", async (t) => {
  const body = "a".repeat(200_000);
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    const chunks = encodeChunk("a").repeat(body.length);
    socket.write(`${chunked("200 OK")(id)}${chunks}0\r\n\r\n`);
  });
  const router = await startSingleRouteRouter(
    t,
    { timeoutMs: TIMEOUT_MS },
    [runner],
  );
  const received = await sendRequest(router, {
    headers: { "x-deadline": String(TIMEOUT_MS) },
  });
  assert.equal(received.status, 200);
  assert.equal(received.truncated, false);
  assert.equal(received.body, body);
});
