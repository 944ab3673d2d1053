import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
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

const TIMEOUT_MS = 60_000;
/** Time in ms in which a response that never ends is given up. */
const MAX_END_MS = 20_000;
const EVENT = "id: 1\ndata: a\n\n";
/** Size in bytes of what is written at a time. */
const PIECE_BYTES = 64 * 1024;

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

/** Starts a router whose runner answers path "/endless" without end. */
async function startEndlessRunner(t: TestContext, response: EndlessResponse) {
  const runner = await startFakeRunner(t, "r-1", (socket, request, id) => {
    if (!request.startsWith("GET /endless")) {
      return void socket.write(runnerResponse(id, EVENT));
    }
    socket.write(response.begin(id));
    writeEndlessly(socket, response.repeat);
  });
  const route: Partial<Route> = {
    streaming: response.streaming,
    timeoutMs: TIMEOUT_MS,
  };
  return { runner, router: await startSingleRouteRouter(t, route, [runner]) };
}

// Guards against a runner that fills the memory and takes the time of a daemon, and
// with it the requests of others, until its caller leaves.
for (const [name, response] of Object.entries(RESPONSES)) {
  test(`a response of ${name} without end is given up`, async (t) => {
    const { runner, router } = await startEndlessRunner(t, response);
    const received = await Promise.race([
      sendRequest(router, {
        path: "/endless",
        headers: { "x-deadline": String(TIMEOUT_MS) },
      }),
      pause(MAX_END_MS, undefined, { ref: false }),
    ]);
    assert.ok(received !== undefined, "the response has not ended");
    if (response.status === undefined) assert.equal(received.truncated, true);
    else assert.equal(received.status, response.status);
    // Nothing more is read from the runner.
    await waitUntil(() => runner.closed > 0);
    const sound = await sendRequest(router, { headers: { "x-id": "sound" } });
    assert.equal(sound.body, EVENT);
  });
}
