import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { EventLog } from "../src/process/event_log.ts";
import { bufferLimits } from "../src/process/buffer_budget.ts";
import type { Router } from "../src/router.ts";
import {
  encodeChunk,
  runnerResponse,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
} from "./fixtures.ts";

const MB = 1024 * 1024;
const PIECE = encodeChunk("a".repeat(64 * 1024));
/** Responses without end at the same time. */
const RESPONSES = 12;
const DEADLINE_MS = 60_000;
/** Most bytes that a runner may send of one failure, with what is on its way. */
const MAX_FAILURE_SENT = 4 * MB;
const SERVICES = [
  { name: "service", maxConnections: 10_000, engine: undefined },
];

/** A runner whose answers to "/endless" have no end, and what it has sent. */
class EndlessRunner {
  readonly sockets: Socket[] = [];
  readonly #status: string;

  constructor(status: string) {
    this.#status = status;
  }

  respond(socket: Socket, request: string, id: string): void {
    if (!request.startsWith("GET /endless")) {
      return void socket.write(runnerResponse(id, "sound"));
    }
    this.sockets.push(socket);
    socket.write(
      `HTTP/1.1 ${this.#status}\r\nX-Id: ${id}\r\nX-Seal: s\r\n` +
        "Transfer-Encoding: chunked\r\n\r\n",
    );
    const write = () => {
      if (socket.destroyed) return;
      // Each in a turn of its own, so that others are served.
      socket.write(PIECE, () => setImmediate(write));
    };
    write();
  }
}

async function startRouterWith(
  t: TestContext,
  endless: EndlessRunner,
  parts: Parameters<typeof startSingleRouteRouter>[4] = {},
): Promise<Router> {
  const runner = await startFakeRunner(
    t,
    "r-1",
    (socket, request, id) => endless.respond(socket, request, id),
  );
  const route = { timeoutMs: DEADLINE_MS, maxAttempts: 1 };
  return await startSingleRouteRouter(
    t,
    route,
    [runner],
    { services: SERVICES },
    parts,
  );
}

function sendEndless(router: Router, index: number) {
  return sendRequest(router, {
    path: "/endless",
    headers: { "x-id": `e-${index}`, "x-deadline": String(DEADLINE_MS) },
  });
}

// Guards against a daemon that is ended for its memory.
test("failures without end are given up before they take memory", async (t) => {
  const endless = new EndlessRunner("500 Internal Server Error");
  const lines: string[] = [];
  const log: EventLog = {
    event: () => {},
    decision: (name) => void lines.push(name),
  };
  const router = await startRouterWith(t, endless, { log });
  const received = await Promise.all(
    Array.from({ length: RESPONSES }, (_, index) => sendEndless(router, index)),
  );
  for (const { status } of received) assert.equal(status, 502);
  const sent = endless.sockets.map(({ bytesWritten }) => bytesWritten);
  assert.ok(
    Math.max(...sent) <= MAX_FAILURE_SENT,
    `${Math.max(...sent)} bytes`,
  );
  const logged = lines.filter((name) => name === "response_too_large");
  assert.equal(logged.length, RESPONSES);
});

// Guards against a daemon that is ended for its memory, and against one that gives up
// the answers of others for those without end.
test("answers without end exceed no budget, and others are answered", async (t) => {
  const limits = bufferLimits(16);
  const endless = new EndlessRunner("200 OK");
  const router = await startRouterWith(t, endless, {
    settings: { buffers: limits },
  });
  let most = 0;
  let open = true;
  const watch = (async () => {
    while (open) {
      const { answers, bodies } = router.buffers.buffered;
      most = Math.max(most, answers + bodies);
      await pause(5);
    }
  })();
  const ends = Array.from(
    { length: RESPONSES },
    (_, index) => sendEndless(router, index),
  );
  await pause(200);
  let longestMs = 0;
  const statuses = new Map<number, number>();
  for (let index = 0; index < 20; index += 1) {
    const startedAt = performance.now();
    const { status } = await sendRequest(router, {
      headers: { "x-id": `sound-${index}`, "x-deadline": String(DEADLINE_MS) },
    });
    longestMs = Math.max(longestMs, performance.now() - startedAt);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  }
  for (const { status } of await Promise.all(ends)) assert.equal(status, 502);
  open = false;
  await watch;
  t.diagnostic(
    `at most ${most / MB} MB buffered, ${Math.round(longestMs)} ms for others`,
  );
  assert.deepEqual([...statuses], [[200, 20]]);
  // Each paused answer exceeds its limit by what one read returns at most.
  assert.ok(
    most <= limits.totalBytes + RESPONSES * 64 * 1024,
    `${most / MB} MB`,
  );
});
