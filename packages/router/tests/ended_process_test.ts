import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { openSocket } from "../src/connection/open_socket.ts";
import type { RunnerNetwork } from "../src/connection/runner_network.ts";
import type { EventLog } from "../src/process/event_log.ts";
import type { Fields } from "../src/process/log_line.ts";
import type { Router } from "../src/router.ts";
import type { Configuration, Route } from "../src/version/configuration.ts";
import {
  encodeChunk,
  sendRequest,
  SettableFeed,
  SILENT_LOG,
  startFakeRunner,
  startRouter,
  streamHead,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";
import type { CallerResponse, FakeRunner } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";

const LOCALHOST = "127.0.0.1";
/** A port on which no process listens, also while others open theirs. */
const REFUSING_PORT = 1;
const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
/** A body that is relayed in chunks where it has no length. */
const LONG = "x".repeat(64 * 1024);
const LISTED_START = 1_000;

/** How an address whose process has ended, or is ending, answers new connections. */
const ANSWERS = {
  /** There is no listener any more. */
  refused: () => openSocket({ host: LOCALHOST, port: REFUSING_PORT }),
  /** The listener ended after it had accepted: the connection is reset. */
  failed: () => new Socket().destroy(new Error("read ECONNRESET")),
  /** Opening packets are lost. */
  timeout: () => Object.assign(new Socket(), { connecting: true }),
} as const satisfies Record<string, () => Socket>;
type Answer = keyof typeof ANSWERS;

/**
 * Runners, the first of which to get a request writes a part of its response and ends:
 * the system closes its connection in the ordinary way. The others write the rest.
 */
class EndingRunners {
  readonly part: string;
  readonly #whole: string;
  /** Ports of the runners whose processes have ended. */
  readonly ended = new Set<number>();
  runners: readonly FakeRunner[] = [];

  constructor(part: string, whole: string) {
    this.part = part;
    this.#whole = whole;
  }

  async start(t: TestContext): Promise<this> {
    this.runners = await Promise.all(
      ["r-1", "r-2", "r-3"].map(async (name) => {
        const fake: FakeRunner = await startFakeRunner(
          t,
          name,
          (socket, request, id) => {
            if (id === "") return;
            if (this.ended.size === 0) {
              this.ended.add(fake.runner.port);
              return void socket.end(unframed(id, this.part));
            }
            const resumed = /last-event-id: 1/i.test(request);
            const rest = resumed ? SECOND : this.#whole;
            socket.write(streamHead(id) + encodeChunk(rest) + encodeChunk(""));
          },
        );
        return fake;
      }),
    );
    return this;
  }

  /** Returns a network in which the addresses of ended processes answer so. */
  network(answer: Answer): RunnerNetwork {
    return {
      connect: ({ port }) =>
        this.ended.has(port)
          ? ANSWERS[answer]()
          : openSocket({ host: LOCALHOST, port }),
    };
  }
}

/** Returns a response that ends with its connection. */
function unframed(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n${body}`;
}

/** A log, and what it says of the ends that nothing states. */
function endLog(): { readonly log: EventLog; readonly ends: Fields[] } {
  const ends: Fields[] = [];
  const log: EventLog = {
    event() {},
    decision(name, _, fields) {
      if (name === "unframed_response_ended") ends.push(fields);
    },
  };
  return { log, ends };
}

/** Starts a router that reaches its runners directly. */
async function startDirect(
  t: TestContext,
  route: Partial<Route>,
  { runners, network, log = SILENT_LOG }: {
    readonly runners: readonly FakeRunner[];
    readonly network?: RunnerNetwork;
    readonly log?: EventLog;
  },
): Promise<Router> {
  const router = await startRouter(t, {
    configurations: new SettableFeed([testConfiguration([testRoute(route)])]),
    runners: new SettableFeed(runners.map(({ runner }) => runner)),
    network,
    log,
  });
  await waitUntil(() => router.ready);
  return router;
}

/** Starts a router that reaches its runners by way of a peer with this network only. */
async function startTunnelled(
  t: TestContext,
  route: Partial<Route>,
  { runners, network, log }: {
    readonly runners: readonly FakeRunner[];
    readonly network: RunnerNetwork;
    readonly log?: EventLog;
  },
): Promise<Router> {
  const fleet = new LinkedRouters(t, route);
  fleet.runners.set(runners.map(({ runner }) => runner));
  await fleet.add({ network });
  return await fleet.add({ network: { connect: ANSWERS.refused }, log });
}

const PATHS = { direct: startDirect, tunnel: startTunnelled } as const;

function send(router: Router, id = "try"): Promise<CallerResponse> {
  return sendRequest(router, { headers: { "x-id": id } });
}

/** What a route's runner writes before its process ends, and the route. */
interface Kind {
  readonly part: string;
  readonly whole: string;
  readonly route: Partial<Route>;
}

const PLAIN: Kind = {
  part: "part",
  whole: "part and rest",
  route: { repetition: "never" },
};
const STREAM: Kind = {
  part: FIRST,
  whole: FIRST + SECOND,
  route: { repetition: "never", streaming: true },
};

/** Kinds of responses that can't be had again. */
const ONCE: Readonly<Record<string, Kind>> = {
  "plain response": PLAIN,
  "long plain response": { ...PLAIN, part: LONG, whole: LONG + LONG },
  "stream": STREAM,
};
/** Kinds of which another runner gives the whole. */
const AGAIN: Readonly<Record<string, Kind>> = {
  "idempotent response": {
    ...PLAIN,
    route: { repetition: "idempotent", maxAttempts: 2 },
  },
  "long idempotent response": {
    part: LONG,
    whole: LONG + LONG,
    route: { repetition: "idempotent", maxAttempts: 2 },
  },
  "resumable stream": {
    ...STREAM,
    route: { repetition: "resumable", streaming: true, maxAttempts: 2 },
  },
};

async function callEnding(
  t: TestContext,
  { part, whole, route }: Kind,
  { answer, path }: {
    readonly answer: Answer;
    readonly path: keyof typeof PATHS;
  },
): Promise<CallerResponse> {
  const ending = await new EndingRunners(part, whole).start(t);
  const { runners } = ending;
  const network = ending.network(answer);
  return await send(await PATHS[path](t, route, { runners, network }));
}

// Guards against a part that passes for the whole as its runner is not seen to refuse.
for (const path of ["direct", "tunnel"] as const) {
  for (const answer of Object.keys(ANSWERS) as readonly Answer[]) {
    for (const [name, kind] of Object.entries(ONCE)) {
      test(`a ${name} of an ended process is not whole (${path}, ${answer})`, async (t) => {
        const response = await callEnding(t, kind, { answer, path });
        const { status, truncated } = response;
        assert.deepEqual(
          { status, truncated },
          kind.route.streaming
            ? { status: 200, truncated: true }
            : { status: 502, truncated: false },
        );
      });
    }

    for (const [name, kind] of Object.entries(AGAIN)) {
      test(`a ${name} of an ended process is had from another runner (${path}, ${answer})`, async (t) => {
        const response = await callEnding(t, kind, { answer, path });
        assert.equal(response.truncated, false);
        assert.equal(response.status, 200);
        assert.ok(response.body === kind.whole);
      });
    }
  }
}

// Guards against sound responses that are cut off.
for (const path of ["direct", "tunnel"] as const) {
  for (
    const [name, { whole, route }] of Object.entries({ ...ONCE, ...AGAIN })
  ) {
    test(`a ${name} of a live runner is whole without a length (${path})`, async (t) => {
      const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
        if (id !== "") socket.end(unframed(id, whole));
      });
      const network = new EndingRunners("", "").network("refused");
      const runners = [runner];
      const router = await PATHS[path](t, route, { runners, network });
      const { status, truncated, body } = await send(router);
      assert.deepEqual({ status, truncated }, {
        status: 200,
        truncated: false,
      });
      assert.ok(body === whole);
      assert.equal(
        runner.requests.filter((text) => /x-id/i.test(text)).length,
        1,
      );
    });
  }
}

// Guards against a sound response that is cut off as the path to its runner is lost.
test("a response is whole whose runner is reached by a peer only by then", async (t) => {
  const fleet = new LinkedRouters(t, STREAM.route);
  const { log, ends } = endLog();
  let lost = false;
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    if (id === "") return;
    lost = true;
    socket.end(unframed(id, FIRST));
  });
  fleet.runners.set([runner.runner]);
  await fleet.add();
  const network: RunnerNetwork = {
    connect: ({ port }) =>
      lost ? ANSWERS.refused() : openSocket({ host: LOCALHOST, port }),
  };
  const { body, truncated } = await send(await fleet.add({ network, log }));
  assert.deepEqual({ body, truncated }, { body: FIRST, truncated: false });
  assert.deepEqual(ends.map(({ check }) => check), ["reached"]);
});

const SERVICES: Configuration["services"] = [{
  name: "service",
  maxConnections: 10,
  engine: {
    slots: 8,
    memoryTokens: 100_000,
    eventTokens: 1,
    fetchMsPerToken: undefined,
  },
}];

/**
 * Returns what the caller of a stream gets whose runner's address accepts connections
 * after its end, and is asked for its start.
 */
async function callRestarted(
  t: TestContext,
  startTime: () => Promise<number | undefined>,
): Promise<CallerResponse> {
  const { runner } = await startFakeRunner(t, "r-1", (socket, _, id) => {
    if (id !== "") socket.end(unframed(id, FIRST));
  });
  const router = await startRouter(t, {
    configurations: new SettableFeed([
      testConfiguration([testRoute(STREAM.route)], { services: SERVICES }),
    ]),
    runners: new SettableFeed([{ ...runner, startedAtMs: LISTED_START }]),
    startTime,
  });
  await waitUntil(() => router.ready);
  return await send(router);
}

// Guards against a new process at the same address that passes for the old one.
for (
  const [name, start] of Object.entries({
    "has another start": () => Promise.resolve(LISTED_START + 1),
    "does not answer": () => new Promise<undefined>(() => {}),
    "refuses the query": () => Promise.reject(new Error("refused")),
  })
) {
  test(`a stream is not whole if the process at the address ${name}`, async (t) => {
    assert.equal((await callRestarted(t, start)).truncated, true);
  });
}

test("a stream is whole if the process at the address has the same start", async (t) => {
  const same = () => Promise.resolve(LISTED_START);
  assert.equal((await callRestarted(t, same)).truncated, false);
});

/** Statuses and methods whose responses have no body. */
const BODYLESS = [["GET", "204 No Content"], ["HEAD", "200 OK"]] as const;

// Guards against a check, and a response withheld, where there is nothing to be cut.
for (const [method, status] of BODYLESS) {
  test(`a ${status} to ${method} needs no sign of its runner's life`, async (t) => {
    const { log, ends } = endLog();
    const runner: FakeRunner = await startFakeRunner(
      t,
      "r-1",
      (socket, _, id) => {
        if (id === "") return;
        const head = `HTTP/1.1 ${status}\r\nX-Id: ${id}\r\nX-Seal: s\r\n\r\n`;
        socket.write(head, () => void runner.end());
      },
    );
    const route = { repetition: "never" } as const;
    const router = await startDirect(t, route, { runners: [runner], log });
    const headers = { "x-id": "try" };
    const response = await sendRequest(router, { method, headers });
    assert.equal(String(response.status), status.slice(0, 3));
    assert.deepEqual(ends, []);
  });
}

// Guards against a connection and its delay for each of many short responses.
test("a response needs no new connection while others to its runner stay open", async (t) => {
  const { log, ends } = endLog();
  let connections = 0;
  const runner = await startFakeRunner(t, "r-1", (socket, request, id) => {
    if (request.includes("/held")) {
      return void socket.write(streamHead(id) + encodeChunk(FIRST));
    }
    if (id !== "") socket.end(unframed(id, "all"));
  });
  const network: RunnerNetwork = {
    connect({ port }) {
      connections += 1;
      return openSocket({ host: LOCALHOST, port });
    },
  };
  const route = { repetition: "never", timeoutMs: 10_000 } as const;
  const router = await startDirect(t, route, {
    runners: [runner],
    network,
    log,
  });
  const held = sendRequest(router, {
    path: "/held",
    headers: { "x-id": "held" },
  });
  await waitUntil(() => runner.requests.length === 1);
  assert.equal((await send(router)).body, "all");
  assert.equal(connections, 2);
  assert.deepEqual(ends.map(({ check, whole }) => ({ check, whole })), [
    { check: "connected", whole: true },
  ]);
  await runner.end();
  assert.equal((await held).status, 502);
});
