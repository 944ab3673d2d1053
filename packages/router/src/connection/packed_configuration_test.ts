import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeItem } from "@umbermast/coordination/codec";
import type { Configuration, Route } from "../version/configuration.ts";
import { testConfiguration, testRoute } from "../../tests/fixtures.ts";
import { packConfiguration } from "./packed_configuration.ts";
import { packMessage, unpackMessage } from "./peer_encoding.ts";

const ROUTES = 1_600;

function routeOf(index: number): Route {
  // Names as random as those that operators' tools make.
  const name = (index * 2_654_435_761 % 4_294_967_296).toString(36);
  return testRoute({
    name: `r-${name}`,
    host: "ficu95.example",
    pathPrefix: `/${name}/`,
    targetMs: Infinity,
    tier: index % 4,
  });
}

function configurationOf(routes: number): Configuration {
  return testConfiguration(
    Array.from({ length: routes }, (_, index) => routeOf(index)),
    { version: 30 },
  );
}

function giveOf(configuration: Configuration | undefined) {
  return {
    kind: "give",
    configuration,
    runners: undefined,
    parts: undefined,
  } as const;
}

// An operator adds 1,600 routes while the store turns a third of the daemons
// away. They get the version from peers, many from the same one, whose link takes
// 7 Mbit/s: plain, the last had it 5 s later, and callers were sent to services
// that the operator had taken off their routes.
test("a configuration of many routes takes a tenth of its size on a link", () => {
  const configuration = configurationOf(ROUTES);
  const plain = encodeItem(configuration).length;
  const packed = packConfiguration(configuration).length;
  assert.ok(packed < plain / 10, `${packed} of ${plain} bytes`);
});

test("a configuration arrives as it was", () => {
  for (const configuration of [configurationOf(3), undefined]) {
    const message = giveOf(configuration);
    assert.deepEqual(unpackMessage(packMessage(message)), message);
  }
});

test("bytes that are no configuration are refused", () => {
  const bytes = { ...giveOf(undefined), configuration: new Uint8Array(9) };
  assert.throws(() => unpackMessage(bytes));
});
