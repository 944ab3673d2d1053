import assert from "node:assert/strict";
import { once } from "node:events";
import { get } from "node:http";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import type { EventLog } from "../src/process/event_log.ts";
import type { Fields } from "../src/process/log_line.ts";
import type { RouterSettings } from "../src/process/settings.ts";
import type { Router } from "../src/router.ts";
import {
  createRouter,
  runnerResponse,
  sendRequest,
  SettableFeed,
  SILENT_LOG,
  startFakeRunner,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";

const LOCALHOST = "127.0.0.1";
/** An address for documentation, which no host has. */
const UNASSIGNED = "192.0.2.1";
/** Time in ms for which a port is held: longer than several attempts to listen. */
const HELD_MS = 500;

interface HeldPort {
  readonly port: number;
  release(): Promise<void>;
}

/** Listens on a port, as another process does. */
async function holdPort(context: TestContext): Promise<HeldPort> {
  const server: Server = createServer((socket) => socket.destroy());
  server.listen(0, LOCALHOST);
  await once(server, "listening");
  const release = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  context.after(release);
  return { port: (server.address() as AddressInfo).port, release };
}

/** Returns a port that nothing listens on. */
async function freePort(context: TestContext): Promise<number> {
  const { port, release } = await holdPort(context);
  await release();
  return port;
}

async function statusOf(port: number, path: string): Promise<number> {
  const request = get({ host: LOCALHOST, port, path, agent: false });
  const [response] = await once(request, "response");
  response.resume();
  return response.statusCode;
}

interface StartingRouter {
  readonly router: Router;
  /** Settles as `Router.start` does. */
  readonly started: Promise<void>;
  readonly events: readonly (Fields & { readonly event: string })[];
}

/** Begins to start a router with one runner. */
async function beginStart(
  context: TestContext,
  settings: Partial<RouterSettings>,
): Promise<StartingRouter> {
  const events: (Fields & { readonly event: string })[] = [];
  const log: EventLog = {
    ...SILENT_LOG,
    event: (event, fields) => void events.push({ event, ...fields }),
  };
  const { runner } = await startFakeRunner(context, "r-1", (socket, _, id) => {
    socket.write(runnerResponse(id, "done"));
  });
  const router = createRouter({
    configurations: new SettableFeed([testConfiguration([testRoute()])]),
    runners: new SettableFeed([runner]),
    settings,
    log,
  });
  const started = router.start();
  // Tests that expect a failure await it later.
  started.catch(() => {});
  context.after(() => router.stop());
  return { router, started, events };
}

/** Asserts that the log tells of the first failure, and of the success. */
function assertLogged({ events }: StartingRouter, server: string): void {
  const [failed, ...more] = events.filter(({ event }) =>
    event === "listen_failed"
  );
  assert.equal(failed?.["server"], server);
  assert.match(String(failed?.["reason"]), /EADDRINUSE/);
  assert.deepEqual(more, []);
  const success = events.find(({ event }) => event === "listen_succeeded");
  assert.equal(success?.["server"], server);
  assert.ok(Number(success?.["after_ms"]) >= HELD_MS, JSON.stringify(success));
}

const held = () => new Promise((resolve) => setTimeout(resolve, HELD_MS));

// Guards against a process that ends at each start while another socket has its port.
test("a daemon whose port for callers is held serves once the port is free", async (t) => {
  const { port, release } = await holdPort(t);
  const readiness = await freePort(t);
  const starting = await beginStart(t, {
    callers: { host: LOCALHOST, port },
    readiness: { host: LOCALHOST, port: readiness, path: "/ready" },
  });
  await held();
  assert.equal(await statusOf(readiness, "/ready"), 503);
  assert.equal(starting.router.ready, false);
  await release();
  await starting.started;
  await waitUntil(() => starting.router.ready);
  assert.equal(await statusOf(readiness, "/ready"), 200);
  assert.equal((await sendRequest(starting.router)).body, "done");
  assertLogged(starting, "callers");
});

test("a daemon whose port for readiness is held serves, and is ready once the port is free", async (t) => {
  const { port, release } = await holdPort(t);
  const starting = await beginStart(t, {
    readiness: { host: LOCALHOST, port, path: "/ready" },
  });
  await held();
  await waitUntil(() => starting.router.ready);
  assert.equal((await sendRequest(starting.router)).body, "done");
  await release();
  await starting.started;
  assert.equal(await statusOf(port, "/ready"), 200);
  assertLogged(starting, "readiness");
});

test("a daemon whose port for peers is held serves, and accepts links once the port is free", async (t) => {
  const { port, release } = await holdPort(t);
  const starting = await beginStart(t, { peers: { host: LOCALHOST, port } });
  await held();
  await waitUntil(() => starting.router.ready);
  assert.equal((await sendRequest(starting.router)).body, "done");
  await release();
  await starting.started;
  assert.equal(starting.router.peersPort, port);
  const socket = connect(port, LOCALHOST);
  await once(socket, "connect");
  socket.destroy();
  assertLogged(starting, "peers");
});

test("a daemon whose port for metrics is held has started, and serves metrics once the port is free", async (t) => {
  const { port, release } = await holdPort(t);
  const starting = await beginStart(t, {
    metrics: { host: LOCALHOST, port, path: "/metrics" },
  });
  await starting.started;
  await waitUntil(() => starting.router.ready);
  assert.equal((await sendRequest(starting.router)).body, "done");
  await held();
  await release();
  await waitUntil(() =>
    starting.events.some(({ event }) => event === "listen_succeeded")
  );
  assert.equal(await statusOf(port, "/metrics"), 200);
  assertLogged(starting, "metrics");
});

test("a daemon whose address is not assigned yet goes on starting", async (t) => {
  const starting = await beginStart(t, {
    callers: { host: UNASSIGNED, port: 80 },
  });
  const ended = await Promise.race([starting.started.then(() => true), held()]);
  assert.equal(ended, undefined);
  const failed = starting.events.filter(({ event }) =>
    event === "listen_failed"
  );
  assert.equal(failed.length, 1);
  assert.match(String(failed[0]?.["reason"]), /EADDRNOTAVAIL/);
});

test("a daemon that is shut down while its port is held ends", async (t) => {
  const { port } = await holdPort(t);
  const starting = await beginStart(t, { callers: { host: LOCALHOST, port } });
  await held();
  assert.equal(await starting.router.shutDown(), true);
  await starting.started;
  const names = starting.events.map(({ event }) => event);
  assert.ok(!names.includes("started"), names.join(" "));
});

// Guards against a start that is tried for ever with a port that cannot exist.
test("a port that cannot exist ends the start, unless it is that of metrics", async (t) => {
  const impossible = { host: LOCALHOST, port: 99_999 };
  const callers = await beginStart(t, { callers: impossible });
  await assert.rejects(callers.started, /99999/);
  const metrics = await beginStart(t, {
    metrics: { ...impossible, path: "/metrics" },
  });
  await metrics.started;
  await waitUntil(() => metrics.router.ready);
  const failed = metrics.events.find(({ event }) => event === "listen_failed");
  assert.equal(failed?.["server"], "metrics");
});
