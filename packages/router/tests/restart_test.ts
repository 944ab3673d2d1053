import assert from "node:assert/strict";
import { test } from "node:test";
import { LoadSums } from "../src/connection/load_sums.ts";
import { PrefixIndex } from "../src/process/prefix_index.ts";
import { runnerId } from "../src/process/runner.ts";
import { RunnerLoads } from "../src/process/runner_loads.ts";
import {
  runnerResponse,
  sendRequest,
  SettableFeed,
  startFakeRunner,
  startRouter,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";
import type { FakeRunner } from "./fixtures.ts";

const PROMPT = [{ id: "brief", tokens: 13_000 }, { id: "own", tokens: 10 }];

function startedRunner(fake: FakeRunner, startedAtMs: number) {
  const { runner } = fake;
  return { ...runner, id: runnerId(runner.name, startedAtMs), startedAtMs };
}

// Guards against a restarted runner that gets no requests because of its previous
// incarnation: that one failed twice in a row and was ejected before it crashed.
test("a runner that restarts under its name starts without failures", async (t) => {
  let failing = true;
  const fake = await startFakeRunner(t, "a", (socket, _, id) => {
    if (failing) return void socket.destroy();
    socket.write(runnerResponse(id, "well"));
  });
  const runners = new SettableFeed([startedRunner(fake, 100)]);
  const configuration = testConfiguration([
    testRoute({ repetition: "idempotent" }),
  ]);
  const router = await startRouter(t, {
    configurations: new SettableFeed([configuration]),
    runners,
  });
  await waitUntil(() => router.ready);
  for (let attempts = 0; attempts < 2; attempts++) await sendRequest(router);
  const before = runnerId("a", 100);
  assert.ok(router.loads.of(before).isEjected(router.now()));
  failing = false;
  runners.set([startedRunner(fake, 200)]);
  const after = runnerId("a", 200);
  await waitUntil(() => router.fleet("service").runners[0]?.id === after);
  assert.equal((await sendRequest(router)).body, "well");
  assert.equal(router.loads.of(after).failures, 0);
});

// Two daemons see a restart seconds apart. The lagging one still sends loads and
// prompt prefixes of the previous incarnation. The other must not count them for the
// new incarnation, which has none.
test("a peer's state of a previous incarnation does not apply to the new one", () => {
  const lagging = new RunnerLoads();
  lagging.of(runnerId("a", 100)).place({
    unreadTokens: 13_000,
    memoryTokens: 14_000,
    tight: false,
  }, 0);
  const sent = new LoadSums(lagging).snapshot(() => true);
  const ahead = new RunnerLoads();
  for (const share of sent) {
    ahead.of(share.runner).setNeighbourLoad("host-2", share, { now: 0 });
  }
  const prefixes = new PrefixIndex();
  prefixes.applyUpdate({
    runner: runnerId("a", 100),
    parts: PROMPT,
    read: true,
  }, 0);
  const after = runnerId("a", 200);
  assert.equal(ahead.of(after).total.inFlight, 0);
  assert.equal(prefixes.cachedTokens(after, PROMPT, 1), 0);
});

// A lagging daemon applies a list of runners that does not have the new incarnation
// yet. The load that a peer has sent for that incarnation must be kept.
test("a peer's load of an incarnation that is not listed yet is kept", () => {
  const loads = new RunnerLoads();
  const share = { ...loads.of("b").own, inFlight: 3 };
  loads.of(runnerId("a", 200)).setNeighbourLoad("host-2", share, { now: 0 });
  loads.retain(new Set([runnerId("a", 100)]));
  assert.equal(loads.of(runnerId("a", 200)).total.inFlight, 3);
});

// The address of a runner that is gone now belongs to a runner of another service.
// That one refuses the request as misdirected, without executing it, so the router
// must retry at another runner.
test("an address that another runner has taken over does not fail requests", async (t) => {
  const taken = await startFakeRunner(t, "taken", (socket, _, id) => {
    socket.write(runnerResponse(id, "no", {
      status: "421 Misdirected Request",
      headers: "X-Not-Run: 1\r\n",
    }));
  });
  const other = await startFakeRunner(t, "other", (socket, _, id) => {
    socket.write(runnerResponse(id, "well"));
  });
  const router = await startRouter(t, {
    configurations: new SettableFeed([
      testConfiguration([testRoute({ maxAttempts: 2 })]),
    ]),
    runners: new SettableFeed([
      startedRunner(taken, 100),
      startedRunner(other, 100),
    ]),
  });
  await waitUntil(() => router.ready);
  for (let attempts = 0; attempts < 6; attempts++) {
    assert.equal((await sendRequest(router)).body, "well");
  }
  assert.ok(taken.requests.length <= 3);
});
