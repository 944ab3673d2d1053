import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import type { Route } from "../src/version/configuration.ts";
import type { Router } from "../src/router.ts";
import type { CallerResponse, FakeRunner } from "./fixtures.ts";
import {
  encodeChunk,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
} from "./fixtures.ts";

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
const BODY = EVENTS.join("");

/** How a runner ends its connection in the middle of a response. */
const ENDINGS = {
  "closed": (socket: Socket) => void socket.end(),
  "reset": (socket: Socket) => void socket.resetAndDestroy(),
} as const;

/** Time in ms that no request of these tests takes. */
const LONG_MS = 60_000;
const UNHURRIED = { targetMs: LONG_MS, timeoutMs: LONG_MS } as const;
/** Routes whose requests are sent once. */
const ONCE: Readonly<Record<string, Partial<Route>>> = {
  "a plain": { ...UNHURRIED, repetition: "never" },
  "a streamed": { ...UNHURRIED, repetition: "never", streaming: true },
};
/** Routes whose requests are sent once more after a failure. */
const REPEATED: Readonly<Record<string, Partial<Route>>> = {
  "an idempotent": { ...UNHURRIED, repetition: "idempotent", maxAttempts: 2 },
  "a resumable": {
    ...UNHURRIED,
    repetition: "resumable",
    streaming: true,
    maxAttempts: 2,
  },
};

/** Returns the head of a response, whose last headers are given. */
function headWith(headers: string): string {
  return `HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Seal: s\r\n${headers}\r\n`;
}

/** Responses, each with the number of bytes below which it is not whole. */
const RESPONSES: Readonly<Record<string, readonly [string, number]>> = {
  "with a length": whole(
    headWith(`Content-Length: ${BODY.length}\r\n`) + BODY,
  ),
  "in chunks": whole(
    headWith("Transfer-Encoding: chunked\r\n") +
      encodeChunk(BODY.slice(0, 20)) + encodeChunk(BODY.slice(20)) +
      "0\r\n\r\n",
  ),
  "with trailers": whole(
    headWith("Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n") +
      `${encodeChunk(BODY)}0\r\nX-Sum: 1\r\n\r\n`,
  ),
  "without a length": [headWith("") + BODY, headWith("").length],
  "behind an interim response": whole(
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
      headWith(`Content-Length: ${BODY.length}\r\n`) + BODY,
  ),
};

function whole(response: string): readonly [string, number] {
  return [response, response.length];
}

/** Starts runners which end the first response to each request after as many bytes as asked. */
function startCutting(
  t: TestContext,
  options: {
    readonly response: string;
    readonly end: (socket: Socket) => void;
  },
): Promise<readonly FakeRunner[]> {
  const { response, end } = options;
  const cut = new Set<string>();
  return Promise.all(
    ["r-1", "r-2"].map((name) =>
      startFakeRunner(t, name, (socket, request) => {
        const bytes = /^GET \/cut\/(\d+) /.exec(request)?.[1];
        if (bytes === undefined) return;
        if (!cut.has(bytes)) {
          cut.add(bytes);
          // In one turn of the event loop: both arrive before the router polls again.
          socket.write(response.slice(0, Number(bytes)));
          return end(socket);
        }
        // Repeats what the caller has of a stream, which is dropped.
        socket.end(headWith(`Content-Length: ${BODY.length}\r\n`) + BODY);
      })
    ),
  );
}

/** Returns the paths of the cut responses, sorted. */
function cutPaths(length: number): readonly string[] {
  return Array.from({ length }, (_, bytes) => `/cut/${bytes}`).sort();
}

/** Returns the paths that runners were sent, sorted, without those of their checks. */
function sentPaths(runners: readonly FakeRunner[]): readonly string[] {
  return runners
    .flatMap(({ requests }) => requests)
    .map((request) => /^GET (\/cut\/\d+) /.exec(request)?.[1])
    .filter((path) => path !== undefined)
    .sort();
}

/** Requests the response cut after each number of bytes below `length`. */
async function requestCuts(
  router: Router,
  length: number,
): Promise<readonly CallerResponse[]> {
  const responses: CallerResponse[] = [];
  for (let bytes = 0; bytes < length; bytes++) {
    const headers = { "x-id": "a", "x-deadline": String(LONG_MS) };
    const path = `/cut/${bytes}`;
    responses.push(await sendRequest(router, { path, headers }));
  }
  return responses;
}

/** Whether a caller takes a response for whole, and for a success. */
function looksWhole({ status, truncated }: CallerResponse): boolean {
  return status === 200 && !truncated;
}

// Guards against a part of a response that a caller takes for the whole.
for (const [kind, route] of Object.entries(ONCE)) {
  for (const [framing, [response, length]] of Object.entries(RESPONSES)) {
    for (const [ending, end] of Object.entries(ENDINGS)) {
      test(`${kind} response ${framing} is not whole before its last byte when it is ${ending}`, async (t) => {
        const runners = await startCutting(t, { response, end });
        const router = await startSingleRouteRouter(t, route, runners);
        const responses = await requestCuts(router, length);
        assert.deepEqual(responses.filter(looksWhole), []);
        assert.deepEqual(sentPaths(runners), cutPaths(length));
      });
    }
  }
}

// Guards against a request that is not tried again, or not continued, after a part.
for (const [kind, route] of Object.entries(REPEATED)) {
  for (const [framing, [response, length]] of Object.entries(RESPONSES)) {
    for (const [ending, end] of Object.entries(ENDINGS)) {
      test(`${kind} response ${framing} is whole after another attempt when it is ${ending}`, async (t) => {
        const runners = await startCutting(t, { response, end });
        const router = await startSingleRouteRouter(t, route, runners);
        const responses = await requestCuts(router, length);
        assert.ok(responses.every(looksWhole));
        assert.ok(responses.every(({ body }) => body === BODY));
        const paths = cutPaths(length);
        assert.deepEqual(sentPaths(runners), [...paths, ...paths].sort());
      });
    }
  }
}
