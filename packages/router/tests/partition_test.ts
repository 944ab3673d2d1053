import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { waitUntil } from "./fixtures.ts";
import type { Partition } from "./partition_proxy.ts";
import { PartitionedFleet, servedShare } from "./partitioned_fleet.ts";

/** Time in which a router adapts to a partition, in ms. */
const CONTACT_MS = 3_000;
/** Part of the time after that in which requests are judged, in ms. */
const JUDGED_MS = 3_000;
/** Minimum served share at partitioned routers, relative to the others. */
const SERVED_RATIO = 2 / 3;

/** Partitions routers while callers send, and returns the tries after a while. */
async function triesDuring(
  t: TestContext,
  partition: Partition,
  { routers, partitioned }: {
    readonly routers: number;
    readonly partitioned: readonly number[];
  },
) {
  const fleet = await PartitionedFleet.start(t, { routers, runners: 4 });
  const calls = fleet.call({
    callersPerRouter: 3,
    forMs: 1_000 + CONTACT_MS + JUDGED_MS,
  });
  await pause(1_000);
  const judgedFrom = performance.now() + CONTACT_MS;
  fleet.partition(partitioned, partition);
  await calls;
  const judged = fleet.tries.filter(({ startedAt }) => startedAt >= judgedFrom);
  return {
    fleet,
    cut: judged.filter(({ router }) => partitioned.includes(router)),
    others: judged.filter(({ router }) => !partitioned.includes(router)),
  };
}

const TESTS: Readonly<Record<Partition, string>> = {
  "hang": "two of five routers whose paths hang serve their callers",
  "swallow":
    "two of five routers whose paths carry nothing serve their callers",
  "reset": "two of five routers whose paths are reset serve their callers",
  "refuse": "two of five routers whose paths are refused serve their callers",
  "refuse-new":
    "two of five routers whose new connections are refused serve their callers",
};

for (const [partition, name] of Object.entries(TESTS)) {
  // Guards against a router that fails its callers while its peers reach the runners.
  test(name, async (t) => {
    const { fleet, cut, others } = await triesDuring(
      t,
      partition as Partition,
      {
        routers: 5,
        partitioned: [0, 3],
      },
    );
    const [own, other] = [servedShare(cut), servedShare(others)];
    t.diagnostic(`${own} of ${cut.length}, ${other} of ${others.length}`);
    assert.ok(own >= SERVED_RATIO * other, `${own}, others ${other}`);
    assert.deepEqual([...fleet.runs].filter(([, runs]) => runs > 2), []);
  });
}

// Guards against a fleet of which most routers lose their paths, and none is served.
test("four of five routers without paths to runners serve their callers", async (t) => {
  const { cut, others } = await triesDuring(t, "refuse", {
    routers: 5,
    partitioned: [0, 1, 2, 3],
  });
  const [own, other] = [servedShare(cut), servedShare(others)];
  t.diagnostic(`${own} of ${cut.length}, ${other} of ${others.length}`);
  assert.ok(own >= SERVED_RATIO * other, `${own}, others ${other}`);
});

// Guards against a router that uses its peers' links for good.
test("a router uses its own paths again after a partition", async (t) => {
  const fleet = await PartitionedFleet.start(t, { routers: 3, runners: 4 });
  const [router] = fleet.routers;
  fleet.partition([0], "refuse");
  const calls = fleet.call({ callersPerRouter: 2, forMs: 6_000 });
  await waitUntil(() => router!.paths.isolated);
  await fleet.heal([0]);
  await waitUntil(() => router!.paths.lost === 0);
  const healedAt = performance.now();
  await calls;
  const after = fleet.tries.filter(({ startedAt }) => startedAt > healedAt);
  assert.equal(servedShare(after), 1);
  assert.match(await router!.metrics.text(), /umbermast_lost_paths 0/);
});

// Guards against a service that is lost at a router that reaches other runners.
test("a router that does not reach one runner sends to it by way of a peer", async (t) => {
  const fleet = await PartitionedFleet.start(t, { routers: 3, runners: 1 });
  fleet.partition([0], "refuse");
  const { served } = await fleet.send(0, "/once/");
  assert.equal(served, true);
});

// Guards against a runner that is taken for unreachable because it has crashed.
test("a runner that no peer reaches either is not sent to by way of peers", async (t) => {
  const fleet = await PartitionedFleet.start(t, { routers: 3, runners: 2 });
  await fleet.runners[0]!.end();
  for (let sent = 0; sent < 4; sent++) {
    const { served } = await fleet.send(0, "/get/");
    assert.equal(served, true);
  }
  assert.equal(fleet.routers[0]!.paths.lost, 0);
});

// Guards against a shutdown that cuts off a tunnel that a host serves for another one.
test("a router that shuts down finishes the requests in its tunnels", async (t) => {
  const fleet = await PartitionedFleet.start(t, { routers: 2, runners: 2 });
  fleet.partition([0], "refuse");
  await fleet.send(0, "/once/");
  const slow = fleet.send(0, "/slow/");
  await waitUntil(() => fleet.slowRequests === 1);
  assert.equal(await fleet.routers[1]!.shutDown(), true);
  fleet.routers[1]!.stop();
  assert.equal((await slow).served, true);
});

// Guards against the end of a peer that passes for the end of a response without length.
test("a response without a length is not complete when its tunnel is lost", async (t) => {
  const fleet = await PartitionedFleet.start(t, { routers: 2, runners: 2 });
  fleet.partition([0], "refuse");
  await fleet.send(0, "/once/");
  const unframed = fleet.send(0, "/unframed/");
  await waitUntil(() => fleet.unframedResponses === 1);
  fleet.routers[1]!.stop();
  assert.equal((await unframed).served, false);
});

// Guards against requests that go on by way of a peer whose own paths carry nothing.
test("a peer whose tunnels carry nothing is used no more", async (t) => {
  const fleet = await PartitionedFleet.start(t, { routers: 3, runners: 4 });
  fleet.partition([0], "refuse");
  fleet.partition([1], "swallow");
  for (let sent = 0; sent < 6; sent++) await fleet.send(0, "/get/");
  const tries = await Promise.all(
    Array.from({ length: 10 }, () => fleet.send(0, "/once/")),
  );
  assert.ok(servedShare(tries) >= SERVED_RATIO, `${servedShare(tries)}`);
});
