import assert from "node:assert/strict";
import { test } from "node:test";
import type { Configuration, Route } from "./configuration.ts";
import { pickDestination, RoutingTable } from "./routing_table.ts";

function route(fields: Partial<Route>): Route {
  return {
    name: "r",
    host: "example.org",
    pathPrefix: "/",
    repetition: "never",
    streaming: false,
    timeoutMs: 1_000,
    targetMs: 100,
    gapTargetMs: undefined,
    patienceMs: 2_000,
    tier: 0,
    destinations: [],
    maxAttempts: 1,
    anonymous: false,
    ...fields,
  };
}

function tableOf(
  routes: readonly Route[],
  fields: Partial<Configuration> = {},
): RoutingTable {
  return new RoutingTable({
    version: 1,
    routes,
    services: [],
    workspaces: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    ...fields,
  });
}

test("the longest prefix of the path wins, whatever follows it", () => {
  const table = tableOf([
    route({ name: "short", pathPrefix: "/a/" }),
    route({ name: "long", pathPrefix: "/a/b/" }),
  ]);
  assert.equal(table.route("example.org", "/a/b/c?d=/x/")?.name, "long");
  assert.equal(table.route("Example.org:80", "/a/c/b/")?.name, "short");
  assert.equal(table.route("example.org", "/a"), undefined);
  assert.equal(table.route("other.org", "/a/b/"), undefined);
});

test("a query does not count as part of the path", () => {
  const table = tableOf([route({ pathPrefix: "/a/" })]);
  assert.equal(table.route("example.org", "/?x=/a/"), undefined);
});

// All workspaces have the same tier, and each sends quotes and cut sheets.
// Ranked by the workspace's tier alone, both would be equal, and quotes would
// wait behind prompts of 17,000 tokens.
test("requests of workspaces of one tier are ranked by their routes", () => {
  const quote = route({ tier: 1 });
  const cutSheet = route({ tier: 2, name: "s" });
  const first = { name: "v", keys: [], tier: 0 };
  const other = { name: "w", keys: ["k"], tier: 1 };
  const table = tableOf([quote, cutSheet], { workspaces: [first, other] });
  const ranks = [first, other].flatMap((workspace) =>
    [quote, cutSheet].map((each) => table.rank(each, workspace))
  );
  assert.deepEqual(ranks, [0, 1, 2, 3]);
  assert.deepEqual(ranks.map((rank) => table.lessUrgentRanks(rank)), [
    3,
    2,
    1,
    0,
  ]);
  assert.equal(table.workspace("k")?.name, "w");
});

// Guards against preemption of an urgent class for another workspace's long
// prompt.
test("engines preempt by the route's tier, whatever the workspace's", () => {
  const answer = route({ tier: 0 });
  const report = route({ tier: 2, name: "s" });
  const first = { name: "v", keys: [], tier: 0 };
  const other = { name: "w", keys: ["k"], tier: 1 };
  const table = tableOf([answer, report], { workspaces: [first, other] });
  const ranks = [answer, report].flatMap((each) =>
    [first, other].map((workspace) => table.preemptionRank(each, workspace))
  );
  assert.deepEqual(ranks, [0, 1, 2, 3]);
  assert.ok(table.rank(report, first) < table.rank(answer, other));
});

test("the route's tier applies where a workspace has none", () => {
  const routes = [route({ tier: 0 }), route({ tier: 2, name: "s" })];
  const workspace = { name: "v", keys: [], tier: undefined };
  const table = tableOf(routes, {
    workspaces: [{ name: "w", keys: ["k"], tier: 1 }, workspace],
  });
  assert.deepEqual(
    routes.map((each) => table.rank(each, workspace)),
    [0, 3],
  );
  assert.deepEqual([0, 3].map((rank) => table.lessUrgentRanks(rank)), [3, 0]);
});

test("requests are split by the weights of the destinations", () => {
  const split = route({
    destinations: [
      { service: "a", weight: 90 },
      { service: "b", weight: 10 },
    ],
  });
  assert.equal(pickDestination(split, 0.89), "a");
  assert.equal(pickDestination(split, 0.91), "b");
  assert.equal(pickDestination(route({}), 0.5), undefined);
});
