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

function lifeOf(played: FakeRunner, startedAtMs: number) {
  const { runner } = played;
  return { ...runner, id: runnerId(runner.name, startedAtMs), startedAtMs };
}

// A runner fails twice in a row and gets no work for a while; it crashes and is
// started again under its name. A caller that comes now is served at once: the
// failures, and the rest after them, were those of the life before.
test("a restart under the same name starts with no failures", async (t) => {
  let broken = true;
  const played = await startFakeRunner(t, "a", (socket, _, id) => {
    if (broken) return void socket.destroy();
    socket.write(runnerResponse(id, "well"));
  });
  const runners = new SettableFeed([lifeOf(played, 100)]);
  const configuration = testConfiguration([
    testRoute({ repetition: "idempotent" }),
  ]);
  const router = await startRouter(t, {
    configurations: new SettableFeed([configuration]),
    runners,
  });
  await waitUntil(() => router.ready);
  for (let tries = 0; tries < 2; tries++) await sendRequest(router);
  const before = runnerId("a", 100);
  assert.ok(router.loads.of(before).isEjected(router.now()));
  broken = false;
  runners.set([lifeOf(played, 200)]);
  const after = runnerId("a", 200);
  await waitUntil(() => router.fleet("service").runners[0]?.id === after);
  assert.equal((await sendRequest(router)).body, "well");
  assert.equal(router.loads.of(after).failures, 0);
});

// Two daemons see a restart seconds apart. The one that lags still tells what it
// has at the life before, and what that one has read; the other must not count
// either for the new life, which is empty.
test("what a peer tells of the life before is not the new life's", () => {
  const lagging = new RunnerLoads();
  lagging.of(runnerId("a", 100)).place({
    unreadTokens: 13_000,
    memoryTokens: 14_000,
    tight: false,
  }, 0);
  const told = new LoadSums(lagging).snapshot(() => true);
  const ahead = new RunnerLoads();
  for (const share of told) {
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

// The daemon that lags removes another runner from its list before it has heard
// of the new life. What its peer has there must still count afterwards.
test("a load that peers told of a life not yet listed is kept", () => {
  const loads = new RunnerLoads();
  const share = { ...loads.of("b").own, inFlight: 3 };
  loads.of(runnerId("a", 200)).setNeighbourLoad("host-2", share, { now: 0 });
  loads.retain(new Set([runnerId("a", 100)]));
  assert.equal(loads.of(runnerId("a", 200)).total.inFlight, 3);
});

// A runner is gone and its address belongs to another service by now, under
// another name. What is sent there is refused as meant for somebody else; the
// caller is told that it has not run, and another runner is tried if there is
// one.
test("an address that was taken over costs the caller nothing", async (t) => {
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
    runners: new SettableFeed([lifeOf(taken, 100), lifeOf(other, 100)]),
  });
  await waitUntil(() => router.ready);
  for (let tries = 0; tries < 6; tries++) {
    assert.equal((await sendRequest(router)).body, "well");
  }
  assert.ok(taken.requests.length <= 3);
});
