import assert from "node:assert/strict";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { bufferLimits } from "../src/process/buffer_budget.ts";
import type { Router } from "../src/router.ts";
import {
  encodeChunk,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
  waitUntil,
} from "./fixtures.ts";

const MB = 1024 * 1024;
const STREAMS = 60;
const LIMITS = bufferLimits(4);
const DEADLINE_MS = 60_000;
const EVENT = "id: 1\ndata: a\n\n";
/** Bytes of a partial event. */
const PARTIAL_BYTES = 200_000;

/** Starts a router that pauses runners for slow callers. */
async function startPausingRouter(
  t: TestContext,
  respond: (socket: Socket, id: string) => void,
): Promise<{ readonly router: Router; readonly open: Set<Socket> }> {
  const open = new Set<Socket>();
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    if (id === "sound") {
      return void socket.write(
        streamHead(id) + encodeChunk(EVENT) + "0\r\n\r\n",
      );
    }
    open.add(socket);
    socket.once("close", () => open.delete(socket));
    respond(socket, id);
  });
  const router = await startSingleRouteRouter(
    t,
    { streaming: true, timeoutMs: DEADLINE_MS, maxAttempts: 1 },
    [runner],
    {
      services: [
        { name: "service", maxConnections: 10_000, engine: undefined },
      ],
    },
    { settings: { buffers: LIMITS } },
  );
  return { router, open };
}

/** Sends a request and reads nothing of its answer. */
function sendUnread(t: TestContext, router: Router, id: string): void {
  const socket = connect(router.callersPort, "127.0.0.1");
  t.after(() => socket.destroy());
  socket.on("error", () => {});
  socket.pause();
  socket.write(`GET / HTTP/1.1\r\nHost: test\r\nX-Id: ${id}\r\n`);
  socket.write(`X-Deadline: ${DEADLINE_MS}\r\n\r\n`);
}

async function assertServed(router: Router): Promise<void> {
  const { status, body, truncated } = await sendRequest(router, {
    headers: { "x-id": "sound", "x-deadline": String(DEADLINE_MS) },
  });
  assert.deepEqual([status, body, truncated], [200, EVENT, false]);
}

// Guards against a daemon that is ended for its memory.
test("partial events of all streams together are bounded", async (t) => {
  const { router, open } = await startPausingRouter(t, (socket, id) => {
    socket.write(
      streamHead(id) + encodeChunk(EVENT) +
        encodeChunk("x".repeat(PARTIAL_BYTES)),
    );
  });
  for (let index = 0; index < STREAMS; index += 1) {
    sendUnread(t, router, `s-${index}`);
  }
  await waitUntil(() => open.size > STREAMS / 2);
  const most = LIMITS.totalBytes / PARTIAL_BYTES;
  const startedAt = performance.now();
  await waitUntil(() => open.size <= most, {
    describe: () => `${open.size} streams are open`,
  });
  const waitedMs = performance.now() - startedAt;
  assert.ok(waitedMs < DEADLINE_MS / 2, `${waitedMs} ms`);
  assert.ok(open.size >= most / 2, `${open.size} streams are open`);
  await assertServed(router);
});

test("streams whose callers do not read are bounded together", async (t) => {
  const events = encodeChunk(`data: ${"a".repeat(8_000)}\n\n`.repeat(8));
  const { router } = await startPausingRouter(t, (socket, id) => {
    socket.write(streamHead(id));
    const write = () => {
      while (!socket.destroyed && socket.write(events));
      if (!socket.destroyed) socket.once("drain", write);
    };
    write();
  });
  for (let index = 0; index < STREAMS; index += 1) {
    sendUnread(t, router, `s-${index}`);
  }
  let most = 0;
  const until = performance.now() + 4_000;
  while (performance.now() < until) {
    most = Math.max(most, router.buffers.buffered.answers);
    await pause(5);
  }
  t.diagnostic(`at most ${most / MB} MB`);
  assert.ok(most > 0, "streams are not counted");
  // Each paused stream exceeds the limit by what one read returns at most.
  assert.ok(most <= LIMITS.totalBytes + STREAMS * 64 * 1024, `${most / MB} MB`);
  await assertServed(router);
});
