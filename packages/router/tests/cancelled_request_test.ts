import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { EventLog } from "../src/process/event_log.ts";
import { partSuspect } from "../src/process/suspect.ts";
import { Caller } from "../src/request/caller.ts";
import { Exchange } from "../src/request/exchange.ts";
import type { Router } from "../src/router.ts";
import type { Route } from "../src/version/configuration.ts";
import {
  encodeChunk,
  runnerResponse,
  sendRequest,
  SILENT_LOG,
  startFakeRunner,
  startSingleRouteRouter,
  streamHead,
} from "./fixtures.ts";
import type { FakeRunner, RequestHandler } from "./fixtures.ts";

const LOCALHOST = "127.0.0.1";
/** Ids of the parts of the request's prompt; the last one is its own. */
const SHARED_PART = "shared";
const OWN_PART = "own";
/** Longest time in ms for a test that would otherwise not end. */
const MAX_WAIT_MS = 90_000;

/** A request while the router checks its paths, right before it is sent. */
interface Check {
  readonly exchange: Exchange;
  readonly response: ServerResponse;
  readonly router: Router;
  /** How many checks there were before, one for each runner that was selected. */
  readonly before: number;
}

/** What becomes of a request, and where it was sent. */
interface Rig {
  send(): ReturnType<typeof sendRequest>;
  /** Resolves when the router is done with it. */
  done(): Promise<void>;
  readonly runners: readonly FakeRunner[];
  readonly router: Router;
}

function requestsOf(runners: readonly FakeRunner[]): number {
  return runners.reduce((sum, { requests }) => sum + requests.length, 0);
}

/** A runner's response that tells that it ran the request. */
const respond: RequestHandler = (socket, _, id) => {
  socket.write(runnerResponse(id, "done"));
};

/** Starts a router that does something before it sends a request to a runner. */
async function startRig(t: TestContext, options: {
  readonly route?: Partial<Route>;
  /** Handles the requests at a runner, by default with a response. */
  readonly handle?: (runner: string) => RequestHandler;
  readonly runners?: readonly string[];
  readonly log?: EventLog;
  /** Called for each check of the paths, which ends when its result is there. */
  readonly onCheck: (check: Check) => unknown;
}): Promise<Rig> {
  const { route = {}, handle = () => respond, log = SILENT_LOG } = options;
  const names = options.runners ?? ["r-1"];
  const runners = await Promise.all(
    names.map((name) => startFakeRunner(t, name, handle(name))),
  );
  const router = await startSingleRouteRouter(t, route, runners, {}, { log });
  let call: Pick<Check, "exchange" | "response"> | undefined;
  let run: Promise<void> | undefined;
  let checks = 0;
  t.mock.method(router.paths, "checkIfSilent", () => {
    const before = checks;
    checks += 1;
    return Promise.resolve(options.onCheck({ ...call!, router, before }));
  });
  const server = createServer((request, response) => {
    const caller = new Caller(request, response, () => false);
    const exchange = new Exchange(router, caller);
    call = { exchange, response };
    run = exchange.run();
  });
  server.listen(0, LOCALHOST);
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    send: () =>
      sendRequest({ callersPort: port }, {
        method: "POST",
        headers: { "x-prompt": `${SHARED_PART},${OWN_PART}` },
      }),
    done: () => run!,
    runners,
    router,
  };
}

/** Records crashes of other runners for which requests with the part are quarantined. */
function quarantine(router: Router): void {
  const suspect = partSuspect("service", SHARED_PART);
  const now = router.now();
  const runs = [30, 20, 10].map((agoMs) => ({
    suspect,
    runner: `crashed-${agoMs}`,
    startedAt: now - agoMs,
    endedAt: now - agoMs + 5,
  }));
  router.crashes.recordCrashes(runs, now);
}

// Guards against an attempt that begins after the time-out, and that nothing ends.
test("a request whose time ends before it is sent is not sent", async (t) => {
  const { send, runners } = await startRig(t, {
    onCheck: ({ exchange }) => exchange.stop(),
  });
  const { status, body, headers } = await send();
  assert.equal(requestsOf(runners), 0);
  assert.equal(status, 503);
  assert.deepEqual(JSON.parse(body), { error: "stopped" });
  assert.ok(Number(headers["retry-after"]) > 0);
});

// Guards against a final response that waits until peers have told whether a path is lost.
test("a request whose time ends while a path is checked gets its response", {
  timeout: MAX_WAIT_MS,
}, async (t) => {
  const { send, runners, router } = await startRig(t, {
    onCheck: ({ exchange }) => {
      t.mock.method(router.paths, "check", () => {
        setImmediate(() => exchange.stop());
        return new Promise(() => {});
      });
    },
  });
  await runners[0]!.end();
  const { status, body } = await send();
  assert.deepEqual([status, JSON.parse(body)], [503, { error: "stopped" }]);
});

// Guards against a runner that works for a caller who has left.
test("a request whose caller leaves before it is sent is not sent", async (t) => {
  const { send, done, runners } = await startRig(t, {
    onCheck: ({ response }) => {
      const closed = once(response, "close");
      response.destroy();
      return closed;
    },
  });
  await assert.rejects(send());
  await done();
  assert.equal(requestsOf(runners), 0);
});

// Guards against one more runner that crashes because of the request.
test("a request that is quarantined before it is sent is not sent", async (t) => {
  const { send, runners } = await startRig(t, {
    onCheck: ({ router }) => quarantine(router),
  });
  const { status, body } = await send();
  assert.equal(requestsOf(runners), 0);
  assert.equal(status, 503);
  assert.deepEqual(JSON.parse(body), { error: "quarantined" });
});

// Guards against the response of one runner that keeps a request at the next.
test("a request that is quarantined before its second attempt is not sent again", async (t) => {
  const { send, runners } = await startRig(t, {
    route: { repetition: "idempotent", maxAttempts: 2 },
    runners: ["r-1", "r-2"],
    handle: () => (socket, _, id) => {
      const status = "500 Internal Server Error";
      socket.write(runnerResponse(id, "failed", { status }));
    },
    onCheck: ({ router, before }) => before === 1 && quarantine(router),
  });
  const { status, body } = await send();
  assert.equal(requestsOf(runners), 1);
  assert.deepEqual([status, body], [500, "failed"]);
});

// Guards against a stream that crashes its runners and is continued at one more.
test("a stream that is quarantined while its next runner is asked does not go on", async (t) => {
  const { send, runners, router } = await startRig(t, {
    route: { streaming: true, repetition: "resumable", maxAttempts: 2 },
    runners: ["r-1", "r-2"],
    handle: () => (socket, _, id) => {
      const event = encodeChunk("id: 1\ndata: a\n\n");
      socket.write(streamHead(id) + event, () => socket.resetAndDestroy());
    },
    onCheck: () => {},
  });
  t.mock.method(router, "confirmStart", () => {
    quarantine(router);
    return Promise.resolve(true);
  });
  const { truncated } = await send();
  assert.equal(requestsOf(runners), 1);
  assert.equal(truncated, true);
});

// Guards against a silent runner that is given up on before it has the request.
test("a runner's time for a response begins when the request is sent", async (t) => {
  let first: unknown;
  const { send } = await startRig(t, {
    route: { repetition: "idempotent", maxAttempts: 2, targetMs: 1 },
    runners: ["r-1", "r-2"],
    handle: (name) => (socket, text, id) => {
      if (name !== first) respond(socket, text, id);
    },
    log: {
      event() {},
      decision: (event, _, fields) => {
        if (event === "runner_chosen") first ??= fields?.["runner"];
      },
    },
    // The timer of the target is due before that of this pause.
    onCheck: () => pause(20),
  });
  const { status, body } = await send();
  assert.deepEqual([status, body], [200, "done"]);
});
