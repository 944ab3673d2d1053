import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { isWatcher } from "../src/process/watch_plan.ts";
import { REPORT_DELAY_MS, startSettledFleet, WINDOW_MS } from "./fleet.ts";
import type { Fleet, FleetShape, Member, StoreAccess } from "./fleet.ts";

/** Time within which a change is in force while the store serves all, in ms. */
const PROPAGATION_MS = 2_000;
/** The same while the store does not respond to some daemons, in ms. */
const PARTIAL_OUTAGE_MS = 5_000;
/** The same in a fleet of the planned size, in ms. */
const LARGE_FLEET_MS = 7_000;

const SMALL: FleetShape = { daemons: 9, domains: 3 };
const LARGE: FleetShape = { daemons: 380, domains: 6 };

/** Whether a daemon watches the store, as long as all daemons are well. */
function watches(fleet: Fleet, { contact }: Member): boolean {
  return isWatcher(contact, fleet.members.map((member) => member.contact));
}

function watchersOf(fleet: Fleet): readonly Member[] {
  return fleet.members.filter((member) => watches(fleet, member));
}

function assertVersion(members: readonly Member[], version: number): void {
  const behind = members.filter(({ configuration }) =>
    configuration?.version !== version
  );
  assert.deepEqual(behind.map(({ contact }) => contact.name), []);
}

/**
 * Checks that changes reach all in time while the store treats the watchers like
 * this.
 */
async function checkChanges(
  t: TestContext,
  access: StoreAccess,
  boundMs: number,
): Promise<void> {
  const { clock, fleet } = await startSettledFleet(t, SMALL);
  for (const watcher of watchersOf(fleet)) watcher.storeAccess = access;
  await clock.advance(100);
  const [removed, ...left] = fleet.runners;
  fleet.configure(2);
  fleet.setRunners(left);
  await clock.advance(boundMs);
  assertVersion(fleet.members, 2);
  for (const { contact, directory } of fleet.members) {
    const names = directory.runners.map(({ name }) => name);
    assert.ok(!names.includes(removed!.name), contact.name);
  }
}

// Guards against daemons that serve by an old version because a peer is linked.
test("a change is in force though the store refuses all watchers", async (t) => {
  await checkChanges(t, "refused", PROPAGATION_MS);
});

// Guards against the same where nothing is reported as lost.
test("a change is in force though watchers get no response", async (t) => {
  await checkChanges(t, "silent", PARTIAL_OUTAGE_MS);
});

// Guards against the same where relays connect the daemons.
test("a change reaches 380 daemons though the store refuses all watchers", async (t) => {
  const { clock, fleet } = await startSettledFleet(t, LARGE);
  for (const watcher of watchersOf(fleet)) watcher.storeAccess = "refused";
  await clock.advance(100);
  fleet.configure(2);
  await clock.advance(LARGE_FLEET_MS);
  assertVersion(fleet.members, 2);
});

// Guards against waiting until the links of lost watchers have closed.
test("a change is in force in time at daemons whose watchers lost power", async (t) => {
  for (let seed = 1; seed <= 20; seed++) {
    const { clock, fleet } = await startSettledFleet(t, SMALL, seed);
    await clock.advance(seed * 313);
    for (const watcher of watchersOf(fleet)) watcher.end({ power: true });
    fleet.configure(2);
    await clock.advance(PROPAGATION_MS);
    assertVersion(fleet.alive, 2);
    clock.restore();
  }
});

// Guards against a fleet that nobody leads while daemons that could lead are idle.
test("another daemon leads while the store refuses all that may lead", async (t) => {
  const { clock, fleet } = await startSettledFleet(t, SMALL);
  const { window } = fleet.members[0]!.usage;
  for (const { usage } of fleet.members) usage.countRequest("fitters");
  for (const watcher of watchersOf(fleet)) {
    watcher.storeAccess = "refused";
    watcher.storeUnreachable = true;
  }
  await clock.advance(WINDOW_MS + REPORT_DELAY_MS);
  const report = fleet.leadership.api.arrivals.find((arrival) =>
    arrival.window === window
  );
  assert.deepEqual(report?.counts, { fitters: fleet.members.length });
  const dueAt = (window + 1) * WINDOW_MS + REPORT_DELAY_MS;
  assert.ok(report.at <= dueAt, `${report.at - dueAt} ms late`);
});
