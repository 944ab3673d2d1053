import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Scope from "effect/Scope";
import { Shares } from "../src/process/shares.ts";
import type { Share } from "../src/process/shares.ts";
import {
  FakeMembership,
  memberNamed,
  MemoryNetwork,
} from "../src/testing/mod.ts";

const NAMES = ["a", "b", "c"];
const TIMES = { periodMs: 10, yieldMs: 60_000, grantMs: 30_000 };

async function startFleet(t: TestContext) {
  const network = new MemoryNetwork();
  const members = NAMES.map((name) => memberNamed(name));
  const shares: Share[] = [];
  for (const self of members) {
    const others = members.filter((member) => member !== self);
    const process = new Shares({
      peers: network.peers(self.name),
      membership: new FakeMembership(self, others),
      times: TIMES,
    });
    const scope = Scope.makeUnsafe();
    await Effect.runPromise(Scope.provide(process.start(), scope));
    t.after(() => Effect.runPromise(Scope.close(scope, Exit.void)));
    shares.push(process.hold({
      limit: "quotes/tokens",
      holder: `shard-${self.name}`,
      total: 90,
      holders: NAMES.length,
    }));
  }
  return { network, shares };
}

/** Checks the condition at each message, and waits until it holds. */
function waitUntil(
  network: MemoryNetwork,
  condition: () => boolean,
): Promise<void> {
  return new Promise((done) => {
    network.intercept = () => {
      if (condition()) done();
      return "deliver";
    };
  });
}

test("each holder may use its floor before an owner has answered", async (t) => {
  const { network, shares } = await startFleet(t);
  network.intercept = () => "refuse";
  assert.deepEqual(shares.map((share) => share.allowance()), [30, 30, 30]);
});

test("a process with demand gets what the others do not use", async (t) => {
  const { network, shares } = await startFleet(t);
  shares[1]?.setDemand(200);
  await waitUntil(network, () => (shares[1]?.allowance() ?? 0) > 80);
  const total = shares.reduce((sum, share) => sum + share.allowance(), 0);
  assert.ok(total <= 90 + 1e-6, `${total}`);
});

test("resizing a limit changes the floor at once", async (t) => {
  const { network, shares } = await startFleet(t);
  network.intercept = () => "refuse";
  shares[0]?.resize({ total: 30, holders: 3 });
  assert.equal(shares[0]?.allowance(), 10);
});
