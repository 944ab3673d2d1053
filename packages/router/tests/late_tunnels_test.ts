import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { openSocket } from "../src/connection/open_socket.ts";
import type { RunnerNetwork } from "../src/connection/runner_network.ts";
import type { Router } from "../src/router.ts";
import type { CallerResponse, FakeRunner } from "./fixtures.ts";
import {
  runnerResponse,
  sendRequest,
  startFakeRunner,
  waitUntil,
} from "./fixtures.ts";
import { LinkedRouters, unusedPort } from "./linked_routers.ts";

const LOCALHOST = "127.0.0.1";
const ROUTE = {
  repetition: "never",
  timeoutMs: 60_000,
  targetMs: 60_000,
} as const;
const GRACE_MS = 4_500;
const SERVICES = [
  { name: "service", maxConnections: 400, engine: undefined },
];
const CONCURRENT = 12;

/** A host, and the connections that it has opened to the runner. */
class CountedHost {
  readonly router: Router;
  readonly #dials: { count: number };

  constructor(router: Router, dials: { count: number }) {
    this.router = router;
    this.#dials = dials;
  }

  static async add(
    fleet: LinkedRouters,
    { runner }: FakeRunner,
  ): Promise<CountedHost> {
    const dials = { count: 0 };
    const network: RunnerNetwork = {
      connect: () => {
        dials.count += 1;
        return openSocket({ host: LOCALHOST, port: runner.port });
      },
    };
    return new CountedHost(await fleet.add({ network }), dials);
  }

  get dials(): number {
    return this.#dials.count;
  }
}

/** Starts hosts that reach a runner, and one that reaches it by way of them only. */
async function startHosts(
  t: TestContext,
  runner: FakeRunner,
  count: number,
) {
  const settings = { graceMs: GRACE_MS };
  const fleet = new LinkedRouters(t, ROUTE, settings, { services: SERVICES });
  fleet.runners.set([runner.runner]);
  const hosts: CountedHost[] = [];
  for (let added = 0; added < count; added++) {
    hosts.push(await CountedHost.add(fleet, runner));
  }
  const port = await unusedPort();
  const cut = await fleet.add({
    network: { connect: () => openSocket({ host: LOCALHOST, port }) },
  });
  return { hosts, cut };
}

let requests = 0;

function send(router: Router): Promise<CallerResponse> {
  requests += 1;
  const headers = { "x-id": `try-${requests}`, "x-deadline": "60000" };
  return sendRequest(router, { headers });
}

// Guards against a request that begins late in the grace period on a kept tunnel, and is
// cut at its end: what the host said right behind its reply was lost.
test("a tunnel that a leaving host has opened is used for one request", async (t) => {
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    if (id !== "") socket.write(runnerResponse(id, "x"));
  });
  const { hosts, cut } = await startHosts(t, runner, 1);
  const [host] = hosts;
  assert.equal((await send(cut)).status, 200);
  const stopped = host!.router.shutDown();
  const statuses: number[] = [];
  while (!host!.router.closed) statuses.push((await send(cut)).status);
  // The last one may have crossed the end of the accept time.
  assert.ok(statuses.slice(0, -1).every((status) => status === 200));
  // No tunnel is left: the host takes no more requests.
  assert.equal((await send(cut)).status, 503);
  assert.equal(await stopped, true);
});

// Guards against requests that begin at a host which is about to exit, while another
// one reaches their runner.
test("a leaving host gets no tunnels while another one reaches the runner", async (t) => {
  const held: (() => void)[] = [];
  const runner = await startFakeRunner(t, "r-1", (socket, _, id) => {
    if (id === "") return;
    held.push(() => socket.write(runnerResponse(id, "x")));
  });
  const { hosts, cut } = await startHosts(t, runner, 2);
  const [leaving, staying] = hosts;
  /** Sends requests at once, and returns when all have been answered. */
  const sendTogether = async () => {
    const responses = Array.from({ length: CONCURRENT }, () => send(cut));
    await waitUntil(() => held.length === CONCURRENT);
    for (const answer of held.splice(0)) answer();
    for (const { status } of await Promise.all(responses)) {
      assert.equal(status, 200);
    }
  };
  while (leaving!.dials === 0 || staying!.dials === 0) await sendTogether();
  const before = leaving!.dials;
  const stopped = leaving!.router.shutDown();
  // Its idle tunnels have been closed.
  await waitUntil(() => runner.closed >= before);
  await sendTogether();
  assert.equal(leaving!.dials, before);
  assert.equal(await stopped, true);
});
