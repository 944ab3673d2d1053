import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { connectClient } from "@umbermast/coordination/client_socket";
import type { Route } from "../src/version/configuration.ts";
import type { Router } from "../src/router.ts";
import type { FakeRunner } from "./fixtures.ts";
import {
  encodeChunk,
  runnerResponse,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
  waitUntil,
} from "./fixtures.ts";

const LOCALHOST = "127.0.0.1";
const EVENT = "id: 1\ndata: a\n\n";
const LAST_EVENT = "id: 2\ndata: b\n\n";
const LAST_CHUNK = "0\r\n\r\n";
const BODY = "0123456789";
/** More than a caller's system takes while the caller reads nothing. */
const LONG_ANSWER = "x".repeat(600_000);
/** More than is read ahead of a request's turn. */
const LONG_BODY = "y".repeat(500_000);
const CONTINUE = "HTTP/1.1 100 ";
/** Time in ms that no request of these tests takes. */
const LONG_MS = 60_000;
/** Milliseconds from SIGTERM to the kill, of which 2.6 s are for new requests. */
const GRACE_MS = 4_500;
const CONNECTIONS = 16;

/** A caller's connection, and all that it has received. */
class RawCaller {
  readonly socket: Socket;
  received = "";
  /** Whether the connection has ended, in order or not. */
  ended = false;
  error: Error | undefined;

  constructor(router: Router) {
    const port = router.callersPort;
    this.socket = connectClient({ port, host: LOCALHOST });
    this.socket.setEncoding("latin1");
    this.socket.on("data", (text) => this.received += text);
    this.socket.on("error", (error) => this.error = error);
    this.socket.on("close", () => this.ended = true);
  }

  send(id: string, path = "/"): void {
    this.socket.write(head(id, path));
  }

  async closed(): Promise<void> {
    await waitUntil(() => this.ended, { describe: () => this.received });
  }

  /** Statuses of the final responses whose heads have arrived. */
  get statuses(): readonly number[] {
    const found = this.received.matchAll(/HTTP\/1\.1 ([2-9]\d{2}) /g);
    return [...found].map(([, status]) => Number(status));
  }
}

function head(id: string, path = "/", more = ""): string {
  return `GET ${path} HTTP/1.1\r\nHost: test\r\nX-Id: ${id}\r\n` +
    `X-Deadline: ${LONG_MS}\r\n${more}\r\n`;
}

/** A runner that answers when it is told to. */
class HeldRunner {
  readonly runner: FakeRunner;
  readonly #held: (() => void)[];

  constructor(runner: FakeRunner, held: (() => void)[]) {
    this.runner = runner;
    this.#held = held;
  }

  static async start(
    t: TestContext,
    answer: (socket: Socket, id: string) => void,
  ): Promise<HeldRunner> {
    const held: (() => void)[] = [];
    const runner = await startFakeRunner(t, "r-1", (socket, request, id) => {
      if (id === "") return;
      if (request.startsWith("GET /soon")) return answer(socket, id);
      held.push(() => answer(socket, id));
    });
    return new HeldRunner(runner, held);
  }

  get waiting(): number {
    return this.#held.length;
  }

  get ids(): readonly string[] {
    return this.runner.requests.flatMap((request) =>
      /x-id: (\S+)/i.exec(request)?.[1] ?? []
    );
  }

  release(): void {
    for (const answer of this.#held.splice(0)) answer();
  }
}

function startDraining(
  t: TestContext,
  { runner }: { readonly runner: FakeRunner },
  route: Partial<Route> = {},
): Promise<Router> {
  return startSingleRouteRouter(
    t,
    { timeoutMs: LONG_MS, ...route },
    [runner],
    {
      services: [{ name: "service", maxConnections: 200, engine: undefined }],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000,
        headerTimeoutMs: LONG_MS,
        // Longer than a test waits: nothing closes for being idle.
        idleTimeoutMs: 10 * LONG_MS,
      },
    },
    { settings: { graceMs: GRACE_MS } },
  );
}

const answerPlain = (socket: Socket, id: string) =>
  void socket.write(runnerResponse(id, EVENT));

/** Starts callers, whose first requests their runner holds. */
async function startCallers(
  router: Router,
  { held, send }: {
    readonly held: HeldRunner;
    readonly send: (caller: RawCaller, index: number) => void;
  },
): Promise<readonly RawCaller[]> {
  const callers = Array.from(
    { length: CONNECTIONS },
    () => new RawCaller(router),
  );
  callers.forEach(send);
  await waitUntil(() => held.waiting === CONNECTIONS);
  return callers;
}

/** Ends the time for new requests, lets the runner answer, and awaits all callers. */
async function drain(
  router: Router,
  held: HeldRunner,
  callers: readonly RawCaller[],
): Promise<boolean> {
  const stopped = router.shutDown();
  await waitUntil(() => router.closed);
  held.release();
  await Promise.all(callers.map((caller) => caller.closed()));
  return await stopped;
}

/** Asserts that callers have one answer each, and the runner one request each. */
function assertAnsweredOnce(
  callers: readonly RawCaller[],
  held: HeldRunner,
): void {
  for (const { received, statuses } of callers) {
    assert.deepEqual(statuses, [200]);
    assert.match(received, /connection: close/i);
    assert.ok(received.endsWith(EVENT));
  }
  const expected = callers.map((_, index) => `first-${index}`);
  assert.deepEqual(held.ids.toSorted(), expected.toSorted());
}

// Guards against a request that is passed on late in the grace period, and cut.
test("a request behind an answer is not passed on once the accept time is over", async (t) => {
  const held = await HeldRunner.start(t, answerPlain);
  const router = await startDraining(t, held);
  const callers = await startCallers(router, {
    held,
    send: (caller, index) => {
      caller.send(`first-${index}`);
      caller.socket.once("data", () => caller.send(`second-${index}`));
    },
  });
  assert.equal(await drain(router, held, callers), true);
  assertAnsweredOnce(callers, held);
});

// Guards against the same of a request that was sent ahead.
test("a request sent ahead is not passed on once the accept time is over", async (t) => {
  const held = await HeldRunner.start(t, answerPlain);
  const router = await startDraining(t, held);
  const callers = await startCallers(router, {
    held,
    send: ({ socket }, index) =>
      void socket.write(head(`first-${index}`) + head(`second-${index}`)),
  });
  assert.equal(await drain(router, held, callers), true);
  assertAnsweredOnce(callers, held);
});

/** A runner that sends the first event of each stream at once. */
class StreamingRunner {
  readonly runner: FakeRunner;
  readonly #sockets: readonly Socket[];

  constructor(runner: FakeRunner, sockets: readonly Socket[]) {
    this.runner = runner;
    this.#sockets = sockets;
  }

  static async start(t: TestContext): Promise<StreamingRunner> {
    const sockets: Socket[] = [];
    const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
      if (id === "") return;
      socket.write(streamHead(id) + encodeChunk(EVENT));
      sockets.push(socket);
    });
    return new StreamingRunner(runner, sockets);
  }

  /** Completes the streams. */
  end(): void {
    for (const socket of this.#sockets) {
      socket.write(`${encodeChunk(LAST_EVENT)}${LAST_CHUNK}`);
    }
  }
}

async function startStreams(
  t: TestContext,
  streaming: StreamingRunner,
) {
  const router = await startDraining(t, streaming, { streaming: true });
  const callers = Array.from(
    { length: CONNECTIONS },
    () => new RawCaller(router),
  );
  callers.forEach((caller, index) => caller.send(`first-${index}`));
  await waitUntil(() =>
    callers.every(({ received }) => received.includes(EVENT))
  );
  return { router, callers };
}

// Guards against a connection that stays open after a stream which began before the
// shutdown: a request on it crosses the end of the process.
test("the connection of a stream that outlasts the accept time closes behind it", async (t) => {
  const streaming = await StreamingRunner.start(t);
  const { router, callers } = await startStreams(t, streaming);
  const stopped = router.shutDown();
  await waitUntil(() => router.closed);
  streaming.end();
  assert.equal(await stopped, true);
  await Promise.all(callers.map((caller) => caller.closed()));
  for (const { received, error } of callers) {
    assert.ok(received.endsWith(LAST_CHUNK));
    assert.ok(received.includes(LAST_EVENT));
    assert.equal(error, undefined);
  }
});

test("a stream that outlasts the grace period does not look complete", async (t) => {
  const streaming = await StreamingRunner.start(t);
  const { router, callers } = await startStreams(t, streaming);
  assert.equal(await router.shutDown(), false);
  await Promise.all(callers.map((caller) => caller.closed()));
  for (const { received } of callers) {
    assert.ok(!received.endsWith(LAST_CHUNK));
  }
});

// Guards against a request that is read whole late in the grace period, passed on, and
// cut at its end.
for (const streaming of [false, true]) {
  const kind = streaming ? "streamed" : "plain";
  test(`a ${kind} request whose body ends after the accept time is refused`, async (t) => {
    const held = await HeldRunner.start(t, answerPlain);
    const router = await startDraining(t, held, { streaming });
    const [early, late, unfinished] = ["early", "late", "unfinished"].map(
      (id) => {
        const caller = new RawCaller(router);
        caller.socket.write(
          head(
            id,
            "/soon",
            `Expect: 100-continue\r\nContent-Length: ${BODY.length}\r\n`,
          ),
        );
        return caller;
      },
    );
    const callers = [early!, late!, unfinished!];
    // The heads have been read.
    await waitUntil(() =>
      callers.every(({ received }) => received.startsWith(CONTINUE))
    );
    const stopped = router.shutDown();
    early!.socket.write(BODY);
    await early!.closed();
    assert.deepEqual(early!.statuses, [200]);
    await waitUntil(() => router.closed);
    late!.socket.write(BODY);
    await late!.closed();
    assert.deepEqual(late!.statuses, [503]);
    assert.match(late!.received, /retry-after: 0.00\r\n/i);
    assert.match(late!.received, /"leaving"/);
    await unfinished!.closed();
    assert.deepEqual(unfinished!.statuses, [408]);
    assert.equal(await stopped, false);
    assert.deepEqual(held.ids, ["early"]);
  });
}

// Guards against a reset that discards the end of an answer, since a request that was
// sent ahead has not been read when its connection closes.
test("an answer is whole whose caller has sent a long request ahead", async (t) => {
  const held = await HeldRunner.start(
    t,
    (socket, id) => void socket.write(runnerResponse(id, LONG_ANSWER)),
  );
  const router = await startDraining(t, held);
  const caller = new RawCaller(router);
  caller.socket.pause();
  const next = head("next", "/", `Content-Length: ${LONG_BODY.length}\r\n`);
  caller.socket.write(`${head("first")}${next}${LONG_BODY}`);
  await waitUntil(() => held.waiting === 1);
  const stopped = router.shutDown();
  await waitUntil(() => router.closed);
  held.release();
  assert.equal(await stopped, true);
  caller.socket.resume();
  await caller.closed();
  assert.deepEqual(caller.statuses, [200]);
  assert.ok(caller.received.endsWith(LONG_ANSWER));
});
