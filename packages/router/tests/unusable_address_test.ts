import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { respondsToProbe } from "../src/connection/runner_probe.ts";
import { TcpRunnerNetwork } from "../src/connection/runner_network.ts";
import { TcpPeerNetwork } from "../src/connection/peer_network.ts";
import { Registration } from "../src/process/daemon_registry.ts";
import type { EventLog } from "../src/process/event_log.ts";
import {
  SettableFeed,
  SILENT_LOG,
  startFakeRunner,
  startRouter,
  testConfiguration,
  testRoute,
  waitUntil,
} from "./fixtures.ts";

const UNUSABLE = ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:x", ":"];

// Guards against a daemon that ends since one address in its settings is mistyped.
test("a daemon with unusable seeds starts", async (t) => {
  const { runner } = await startFakeRunner(t, "r-1", () => {});
  const router = await startRouter(t, {
    configurations: new SettableFeed([testConfiguration([testRoute()])]),
    runners: new SettableFeed([runner]),
    settings: { seeds: UNUSABLE },
  });
  await waitUntil(() => router.ready);
});

// Guards against one daemon with a wrong address that ends all others.
test("a dial of an unusable address fails as one that is refused", async () => {
  const network = new TcpPeerNetwork({
    acceptTunnel: () => ({ incompleteBytes: 0 }),
    limits: { connections: 10, heldBytes: 1_000_000 },
    log: SILENT_LOG,
  });
  for (const address of UNUSABLE) {
    await new Promise<void>((resolve, reject) => {
      network.dial(address, {
        opened: () => reject(new Error(`"${address}" has been opened`)),
        failed: resolve,
      });
    });
  }
});

// Guards against a health path of the configuration that ends all daemons.
test("a probe with a path that cannot be sent fails", async () => {
  const responds = await respondsToProbe({
    id: "r-1",
    name: "r-1",
    startedAtMs: undefined,
    service: "service",
    address: "127.0.0.1",
    port: 1,
    failureDomain: "a",
    slots: 8,
    draining: false,
    warmUpMs: 0,
  }, { network: new TcpRunnerNetwork(), path: "/not ready", timeoutMs: 300 });
  assert.equal(responds, false);
});

// Guards against an entry of another writer that ends each daemon which reads it.
test("an error while the registered daemons are read is logged, and they are read again", async (t) => {
  const reasons: unknown[] = [];
  const log: EventLog = {
    ...SILENT_LOG,
    event: (_, { reason }) => void reasons.push(reason),
  };
  let calls = 0;
  const registration = new Registration({
    register: () => Promise.resolve(1),
    deregister: () => Promise.resolve(),
    addresses() {
      calls += 1;
      return Promise.reject(new RangeError("too deep"));
    },
  }, {
    own: { name: "host-1", address: "127.0.0.1:1" },
    log,
    context: {
      shouldRegister: () => false,
      isAlone: () => true,
      isKnown: () => false,
      storeEpoch: () => 0,
      addressesFound() {},
    },
  });
  registration.start();
  t.after(() => registration.stop());
  await waitUntil(() => calls === 2);
  await pause(0);
  assert.match(String(reasons[0]), /too deep/);
});
