import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { runnerResponse, startFakeRunner } from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";
import { LinkedRouters } from "./linked_routers.ts";

/** Requests that reach a runner if it takes its share of them. */
const REQUESTS = 40;

/** Two linked routers before two runners, and a store that does not respond. */
class FleetWithoutStore {
  readonly linked: LinkedRouters;
  readonly leaving: FakeRunner;

  private constructor(linked: LinkedRouters, leaving: FakeRunner) {
    this.linked = linked;
    this.leaving = leaving;
  }

  static async start(t: TestContext): Promise<FleetWithoutStore> {
    const linked = new LinkedRouters(t);
    const leaving = await startFakeRunner(t, "leaving", (socket, _, id) => {
      const headers = "X-Draining: 1\r\n";
      socket.write(runnerResponse(id, "done", { headers }));
    });
    const staying = await startFakeRunner(t, "staying", (socket, _, id) => {
      socket.write(runnerResponse(id, "done"));
    });
    linked.runners.set([leaving.runner, staying.runner]);
    await linked.add();
    await linked.add();
    linked.runners.down = true;
    return new FleetWithoutStore(linked, leaving);
  }

  /** Sends requests to the routers in turn until the leaving runner responds. */
  async untilStated(): Promise<void> {
    while (this.leaving.requests.length === 0) await this.linked.send("work");
  }

  /** Sends requests at all routers, and counts those that it gets. */
  async countArrivals(): Promise<number> {
    const before = this.leaving.requests.length;
    for (let sent = 0; sent < REQUESTS; sent++) {
      assert.equal((await this.linked.send("work")).status, 200);
    }
    return this.leaving.requests.length - before;
  }
}

// Guards against daemons that learn of a runner's shutdown from the store alone.
test("a runner that states that it is draining gets no more requests while the store is away", async (t) => {
  const fleet = await FleetWithoutStore.start(t);
  await fleet.untilStated();
  const arrivals = await fleet.countArrivals();
  // The other router may send one request before it has learned of it.
  assert.ok(arrivals <= 1, `${arrivals} of ${REQUESTS} requests`);
});

// Guards against the response of another program at a reused address.
test("a runner at a reused address does not end its predecessor's work", async (t) => {
  const linked = new LinkedRouters(t);
  const other = await startFakeRunner(t, "other", (socket, _, id) => {
    const status = "421 Misdirected Request";
    const headers = "X-Not-Run: 1\r\nX-Draining: 1\r\n";
    socket.write(runnerResponse(id, "", { status, headers }));
  });
  linked.runners.set([other.runner]);
  const router = await linked.add();
  assert.equal((await linked.send("work")).status, 503);
  assert.equal(router.fleet("service").runners.length, 1);
});
