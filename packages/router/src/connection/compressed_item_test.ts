import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeItem } from "@umbermast/coordination/codec";
import { RunnerDirectory } from "../process/runner_directory.ts";
import type { RunnerListUpdate } from "../process/runner_directory.ts";
import type { Configuration, Route } from "../version/configuration.ts";
import { testConfiguration, testRoute } from "../../tests/fixtures.ts";
import { compressItem } from "./compressed_item.ts";
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

/** Runners with names and addresses as random as real ones. */
function runnerNewsOf(count: number): RunnerListUpdate {
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
  const packed = compressItem(configuration).length;
  assert.ok(packed < plain / 10, `${packed} of ${plain} bytes`);
});

// All daemons of a large fleet lose power. Those that start again ask the same few
// seeds for a thousand runners each: plain, that is 170 KB an answer, and a seed
// behind 7 Mbit/s has the last of 34 answers out after 6 s.
test("a list of a thousand runners takes a fifth of its size on a link", () => {
  const news = runnerNewsOf(1_000);
  const plain = encodeItem(news).length;
  const packed = compressItem(news).length;
  assert.ok(packed < plain / 5, `${packed} of ${plain} bytes`);
});

test("a list of runners arrives as it was", () => {
  for (const count of [0, 3, 1_000]) {
    const message = { ...giveOf(undefined), runners: runnerNewsOf(count) };
    assert.deepEqual(unpackMessage(packMessage(message)), message);
  }
});

test("a list of runners is compressed once for all that ask", () => {
  const directory = new RunnerDirectory();
  directory.replace({ revision: 5, runners: runnerNewsOf(3).runners });
  const first = directory.updateSince(0);
  assert.equal(directory.updateSince(0), first);
  assert.equal(compressItem(directory.updateSince(0)), compressItem(first));
  directory.applyChange(6, [], ["i-0"]);
  assert.notEqual(directory.updateSince(0), first);
});

test("a configuration arrives as it was", () => {
  for (const configuration of [configurationOf(3), undefined]) {
    const message = giveOf(configuration);
    assert.deepEqual(unpackMessage(packMessage(message)), message);
  }
});

test("bytes that are no configuration or list are refused", () => {
  for (const field of ["configuration", "runners"]) {
    const bytes = { ...giveOf(undefined), [field]: new Uint8Array(9) };
    assert.throws(() => unpackMessage(bytes));
  }
});
