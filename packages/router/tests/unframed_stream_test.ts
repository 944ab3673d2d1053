import assert from "node:assert/strict";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import {
  encodeChunk,
  sendRequest,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
  waitUntil,
} from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
/** Time in ms in which a part of a stream reaches its caller. */
const DELIVERY_MS = 30;
/** Time in ms in which a daemon that stops ends all responses; routes allow 30 s. */
const MAX_END_MS = 15_000;

/** Returns the head of a stream that ends with its connection. */
function unframedHead(id: string, headers = ""): string {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
    `X-Id: ${id}\r\nX-Seal: s\r\n${headers}\r\n`;
}

/** Transfer codings that state no end. */
const UNFRAMED_CODINGS = ["identity", "xchunked", "chunked, gzip"];

/** Protocols of callers; one of HTTP/1.0 gets no chunks. */
const PROTOCOLS = ["HTTP/1.1", "HTTP/1.0"] as const;
type Protocol = typeof PROTOCOLS[number];

/** What a caller received on its connection. */
interface Received {
  /** The body, without the frames of its chunks. */
  readonly body: string;
  /** Whether the caller takes the response for whole. */
  readonly complete: boolean;
}

/** Decodes what a caller has received until its connection ended. */
function decode(text: string, reset: boolean): Received {
  const bodyAt = text.indexOf("\r\n\r\n") + 4;
  const [head, body] = [text.slice(0, bodyAt), text.slice(bodyAt)];
  assert.doesNotMatch(head, /content-length/i);
  if (!/transfer-encoding: chunked/i.test(head)) {
    return { body, complete: !reset };
  }
  return {
    body: body.replaceAll(/[0-9a-f]+\r\n([^\r]*)\r\n/g, "$1"),
    complete: body.endsWith("\r\n0\r\n\r\n"),
  };
}

/** A caller that sends a request for a stream, and reads until its connection ends. */
class StreamCaller {
  readonly received: Promise<Received>;
  readonly #socket: Socket;

  constructor(
    port: number,
    protocol: Protocol,
    options: { readonly paused?: boolean } = {},
  ) {
    const socket = connect(port, "127.0.0.1");
    this.#socket = socket;
    let text = "";
    let reset = false;
    socket.on("data", (chunk) => text += chunk.toString("latin1"));
    socket.on("error", () => reset = true);
    socket.write(`GET / ${protocol}\r\nHost: test\r\nConnection: close\r\n`);
    socket.write("X-Id: a\r\nX-Deadline: 30000\r\n\r\n");
    if (options.paused) socket.pause();
    // `once` of "node:events" would reject at the error.
    this.received = new Promise((resolve) =>
      socket.once("close", () => resolve(decode(text, reset)))
    );
  }

  /** Reads on, if the caller was paused. */
  resume(): void {
    this.#socket.resume();
  }
}

/** Returns what a caller receives of a stream without a length. */
async function receiveStream(
  t: TestContext,
  protocol: Protocol,
  stream: {
    readonly events: string;
    readonly finish: (socket: Socket, runner: FakeRunner) => void;
    readonly headers?: string;
    readonly timeoutMs?: number;
  },
): Promise<Received> {
  const { events, finish, headers, timeoutMs = 2_000 } = stream;
  const runner: FakeRunner = await startFakeRunner(
    t,
    "r-1",
    (socket, _, id) => {
      socket.write(unframedHead(id, headers) + events);
      setTimeout(() => finish(socket, runner), DELIVERY_MS);
    },
  );
  const route = { streaming: true, timeoutMs };
  const router = await startSingleRouteRouter(t, route, [runner]);
  return await new StreamCaller(router.callersPort, protocol).received;
}

/** Returns the caller of a running stream, at a daemon that has begun to stop. */
async function startShutDown(
  t: TestContext,
  protocol: Protocol,
  options: {
    readonly events: string;
    readonly graceMs: number;
    readonly paused?: boolean;
  },
) {
  const { events, graceMs } = options;
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(unframedHead(id) + events);
  });
  const route = { streaming: true, timeoutMs: 30_000 };
  const parts = { settings: { graceMs } };
  const router = await startSingleRouteRouter(t, route, [runner], {}, parts);
  const caller = new StreamCaller(router.callersPort, protocol, options);
  await waitUntil(() => runner.requests.length > 0);
  const startedAt = performance.now();
  const stopped = router.shutDown();
  const received = caller.received.then((received) => {
    assert.ok(performance.now() - startedAt < MAX_END_MS);
    return received;
  });
  return { caller, stopped, received };
}

for (const protocol of PROTOCOLS) {
  test(`a caller of ${protocol} gets all of a stream without a length`, async (t) => {
    const { body, complete } = await receiveStream(t, protocol, {
      events: FIRST + SECOND,
      finish: (socket) => socket.end(),
    });
    assert.equal(body, FIRST + SECOND);
    assert.equal(complete, true);
  });

  // Guards against a part of a stream that passes for the whole.
  test(`a stream without a length that is reset is cut off (${protocol})`, async (t) => {
    const { body, complete } = await receiveStream(t, protocol, {
      events: FIRST,
      finish: (socket) => socket.resetAndDestroy(),
    });
    assert.equal(body, FIRST);
    assert.equal(complete, false);
  });

  // Guards against the same where the system ends the connections of the runner.
  test(`a stream without a length whose runner crashes is cut off (${protocol})`, async (t) => {
    const { body, complete } = await receiveStream(t, protocol, {
      events: FIRST,
      finish: (_, runner) => void runner.end(),
    });
    assert.equal(body, FIRST);
    assert.equal(complete, false);
  });

  // Guards against an event that is cut in the middle and relayed as if it were whole.
  test(`a stream that ends inside an event is cut off (${protocol})`, async (t) => {
    const { body, complete } = await receiveStream(t, protocol, {
      events: FIRST + SECOND.slice(0, -3),
      finish: (socket) => socket.end(),
    });
    assert.equal(body, FIRST);
    assert.equal(complete, false);
  });

  // Guards against a stream that passes for whole because its time is over.
  test(`a stream without a length that exceeds its time is cut off (${protocol})`, async (t) => {
    const { body, complete } = await receiveStream(t, protocol, {
      events: FIRST,
      finish: () => {},
      timeoutMs: 200,
    });
    assert.equal(body, FIRST);
    assert.equal(complete, false);
  });

  // Guards against a part of a stream that passes for whole: the system ends the
  // connections of a process that exits in the ordinary way.
  for (const graceMs of [3_000, 400]) {
    test(`a daemon that stops within ${graceMs} ms cuts off a stream without a length (${protocol})`, async (t) => {
      const startedAt = performance.now();
      const options = { events: FIRST, graceMs };
      const { stopped, received } = await startShutDown(t, protocol, options);
      assert.equal(await stopped, false);
      assert.ok(performance.now() - startedAt < graceMs);
      const { body, complete } = await received;
      assert.equal(body, FIRST);
      assert.equal(complete, false);
    });
  }
}

for (const coding of UNFRAMED_CODINGS) {
  // Guards against a part that passes for whole as its head names a transfer coding.
  test(`a stream of coding "${coding}" whose runner crashes is cut off`, async (t) => {
    const { body, complete } = await receiveStream(t, "HTTP/1.1", {
      events: FIRST,
      headers: `Transfer-Encoding: ${coding}\r\n`,
      finish: (_, runner) => void runner.end(),
    });
    assert.deepEqual([body, complete], [FIRST, false]);
  });
}

test("a stream in chunks that exceeds its time is cut off for a caller of HTTP/1.0", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    socket.write(streamHead(id) + encodeChunk(FIRST));
  });
  const route = { streaming: true, timeoutMs: 200 };
  const router = await startSingleRouteRouter(t, route, [runner]);
  const caller = new StreamCaller(router.callersPort, "HTTP/1.0");
  assert.deepEqual(await caller.received, { body: FIRST, complete: false });
});

// Guards against the same where the caller has not read what was written to it. Of a
// reset that comes meanwhile, Node shows an ordinary end to a caller of HTTP/1.0.
test("a daemon that stops cuts off a stream that waits for its caller", async (t) => {
  const data = "a".repeat(500);
  const events = Array.from(
    { length: 40_000 },
    (_, index) => `id: ${index}\ndata: ${data}\n\n`,
  );
  const { caller, stopped, received } = await startShutDown(t, "HTTP/1.1", {
    events: events.join(""),
    graceMs: 3_000,
    paused: true,
  });
  assert.equal(await stopped, false);
  caller.resume();
  assert.equal((await received).complete, false);
});

// Guards against a caller who waits for an answer of a daemon that is gone.
test("a request without a response gets one from a daemon that stops", async (t) => {
  const runner = await startFakeRunner(t, "r-1", () => {});
  const route = { timeoutMs: 30_000 };
  const parts = { settings: { graceMs: 400 } };
  const router = await startSingleRouteRouter(t, route, [runner], {}, parts);
  const response = sendRequest(router, { headers: { "x-deadline": "30000" } });
  await waitUntil(() => runner.requests.length > 0);
  assert.equal(await router.shutDown(), false);
  assert.equal((await response).status, 502);
  assert.equal((await response).body, '{"error":"stopped"}');
});
