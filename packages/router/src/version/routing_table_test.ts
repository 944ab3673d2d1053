import assert from "node:assert/strict";
import { test } from "node:test";
import type { Configuration, Route } from "./configuration.ts";
import { destinationAt, RoutingTable } from "./routing_table.ts";

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

test("the tiers below are those that routes and workspaces use", () => {
  const table = tableOf([route({ tier: 0 }), route({ tier: 2, name: "s" })], {
    workspaces: [
      { name: "w", keys: ["k"], tier: 1 },
      { name: "v", keys: [], tier: undefined },
    ],
  });
  assert.deepEqual([0, 1, 2].map((tier) => table.tiersBelow(tier)), [2, 1, 0]);
  assert.equal(table.workspace("k")?.name, "w");
});

test("requests are split by the weights of the destinations", () => {
  const split = route({
    destinations: [
      { service: "a", weight: 90 },
      { service: "b", weight: 10 },
    ],
  });
  assert.equal(destinationAt(split, 0.89), "a");
  assert.equal(destinationAt(split, 0.91), "b");
  assert.equal(destinationAt(route({}), 0.5), undefined);
});
