import assert from "node:assert/strict";
import { test } from "node:test";
import { VersionExchange } from "../src/connection/version_exchange.ts";
import type { Peer } from "../src/connection/peers.ts";
import { PrefixIndex } from "../src/process/prefix_index.ts";
import { createConfirmed } from "../src/process/store_confirmations.ts";
import type { Runner } from "../src/process/runner.ts";
import type { Configuration, Route } from "../src/version/configuration.ts";
import {
  emptyDirectory,
  SettableFeed,
  SILENT_LOG,
  startRouter,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";

/** A configuration of a store with other formats, of which no table can be built. */
function brokenConfiguration(): Configuration {
  const route = { ...testRoute(), host: undefined } as unknown as Route;
  return testConfiguration([route], {
    version: 2,
  });
}

// Guards against a daemon that announces a version which it does not route by: it gave
// it to its peers, whose links broke each time, and never took the version again.
test("a configuration that cannot be applied is not given to peers", async (t) => {
  const configurations = new SettableFeed([testConfiguration([testRoute()])]);
  const runners = new SettableFeed<Runner>([]);
  const failures: string[] = [];
  const first = await startRouter(t, {
    configurations,
    runners,
    log: {
      event: (name) => void failures.push(name),
      decision() {},
    },
  });
  await waitUntil(() => first.ready);
  configurations.set([brokenConfiguration()]);
  await waitUntil(() => failures.includes("dependency_lost"));
  const noStore = new SettableFeed<Configuration>([]);
  noStore.down = true;
  const second = await startRouter(t, {
    configurations: noStore,
    runners,
    settings: { name: "host-2", seeds: [`127.0.0.1:${first.peersPort}`] },
  });
  await waitUntil(() => second.ready, { maxMs: 10_000 });
  assert.equal(second.routingTable()?.version, 1);
});

// Guards against a broken configuration that withholds the runners it arrives with.
test("runners are applied though the configuration beside them is broken", () => {
  const directory = emptyDirectory();
  const exchange = new VersionExchange({
    prefixes: new PrefixIndex(),
    directory,
    confirmed: createConfirmed("own", 0),
    configuration: () => undefined,
    applyConfiguration: () => {
      throw new TypeError("no host");
    },
  }, { log: SILENT_LOG, onNewerVersion() {} });
  const runners = { revision: 5, runners: [], whole: true, left: [] };
  const response = {
    kind: "give",
    configuration: brokenConfiguration(),
    runners,
    parts: undefined,
  } as const;
  assert.throws(() => exchange.applyResponse({ name: "b" } as Peer, response));
  assert.equal(directory.revision, 5);
});
