import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeItem } from "@umbermast/coordination/codec";
import type { RunnerListUpdate } from "../process/runner_directory.ts";
import type { Configuration, Route } from "../version/configuration.ts";
import {
  emptyDirectory,
  testConfiguration,
  testRoute,
} from "../../tests/fixtures.ts";
import { compressItem } from "./compressed_item.ts";
import { packMessage, unpackMessage } from "./peer_encoding.ts";

const ROUTES = 1_600;

function routeOf(index: number): Route {
  // Random names, as operators' tools generate them.
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

/** Runners with random names and addresses, as real ones have. */
function runnerListOf(count: number): RunnerListUpdate {
  const runners = Array.from({ length: count }, (_, index) => {
    const hash = index * 2_654_435_761 % 4_294_967_296;
    const name = `i-${hash.toString(16)}`;
    return {
      id: name,
      name,
      startedAtMs: 1_789_070_168_000 + hash % 9_999,
      service: "drafting-llm",
      address: `10.${hash % 5}.${hash % 64}.${hash % 251}`,
      port: 8_126,
      failureDomain: `d-${hash % 5}`,
      slots: 16,
      draining: false,
      warmUpMs: 0,
    };
  });
  return { revision: 5, runners, whole: true, left: [] };
}

function responseOf(configuration: Configuration | undefined) {
  return {
    kind: "give",
    configuration,
    runners: undefined,
    parts: undefined,
  } as const;
}

// An operator adds 1,600 routes while the store rejects a third of the daemons.
// They fetch the version from peers, many from the same one, whose link has 7
// Mbit/s: uncompressed, the last got it 5 s later, and callers were sent to
// services that the operator had removed from their routes.
test("a configuration of many routes is compressed to a tenth of its size", () => {
  const configuration = configurationOf(ROUTES);
  const plain = encodeItem(configuration).length;
  const packed = compressItem(configuration).length;
  assert.ok(packed < plain / 10, `${packed} of ${plain} bytes`);
});

// All daemons of a large fleet lose power. After their start they fetch a
// thousand runners each from the same few seeds: uncompressed, a response has
// 170 KB, and a seed behind 7 Mbit/s has sent the last of 34 responses after 6
// s.
test("a list of a thousand runners is compressed to a fifth of its size", () => {
  const update = runnerListOf(1_000);
  const plain = encodeItem(update).length;
  const packed = compressItem(update).length;
  assert.ok(packed < plain / 5, `${packed} of ${plain} bytes`);
});

test("a list of runners is decoded unchanged", () => {
  for (const count of [0, 3, 1_000]) {
    const message = { ...responseOf(undefined), runners: runnerListOf(count) };
    assert.deepEqual(unpackMessage(packMessage(message)), message);
  }
});

test("a list of runners is compressed once for all peers that request it", () => {
  const directory = emptyDirectory();
  directory.replace({ revision: 5, runners: runnerListOf(3).runners });
  const first = directory.updateSince(0);
  assert.equal(directory.updateSince(0), first);
  assert.equal(compressItem(directory.updateSince(0)), compressItem(first));
  directory.applyChange(6, [], ["i-0"]);
  assert.notEqual(directory.updateSince(0), first);
});

test("a configuration is decoded unchanged", () => {
  for (const configuration of [configurationOf(3), undefined]) {
    const message = responseOf(configuration);
    assert.deepEqual(unpackMessage(packMessage(message)), message);
  }
});

test("bytes that are not a configuration or a list are rejected", () => {
  for (const field of ["configuration", "runners"]) {
    const bytes = { ...responseOf(undefined), [field]: new Uint8Array(9) };
    assert.throws(() => unpackMessage(bytes));
  }
});
