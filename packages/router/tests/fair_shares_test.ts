import assert from "node:assert/strict";
import { test } from "node:test";
import { startSettledFleet } from "./fleet.ts";
import type { Member } from "./fleet.ts";
import { ShareFleet } from "./share_fleet.ts";

/** 3 and 0.3 times the 93 requests that 8 slots serve in a second. */
const FLOOD = { workspace: "flood", perS: 280 };
const SMALL = { workspace: "small", perS: 28 };
const FLEETS = [7, 30];
/** Requests of the last 1.5 s of a run may still wait. */
const COUNTED = { from: 1_000, to: 4_500 };
const RUN_MS = 6_000;
const MAX_IDLE = 0.03;

function idlePart(fleet: ShareFleet): number {
  return fleet.idleMs / (fleet.now * 8);
}

// Guards against a workspace that takes the capacity of others by asking for more:
// by age alone, the small one had a quarter of its requests served.
for (const daemons of FLEETS) {
  for (const seed of [1, 2, 3]) {
    test(`a small workspace is served beside a flood, ${daemons} daemons, seed ${seed}`, (t) => {
      const senders = [FLOOD, SMALL];
      const fleet = new ShareFleet(t, { daemons, seed, senders });
      fleet.run(RUN_MS);
      const { sent, onTime } = fleet.count("small", COUNTED);
      assert.ok(onTime >= 0.95 * sent, `${onTime} of ${sent}`);
      assert.ok(idlePart(fleet) < MAX_IDLE, `${idlePart(fleet)}`);
    });
  }
  test(`two floods get equal parts, ${daemons} daemons`, (t) => {
    const senders = [FLOOD, { workspace: "half", perS: 140 }, SMALL];
    const fleet = new ShareFleet(t, { daemons, seed: 1, senders });
    fleet.run(RUN_MS);
    const flood = fleet.count("flood", COUNTED).done;
    const half = fleet.count("half", COUNTED).done;
    const { sent, onTime } = fleet.count("small", COUNTED);
    assert.ok(Math.abs(flood - half) < 0.2 * half, `${flood} and ${half}`);
    assert.ok(onTime >= 0.95 * sent, `${onTime} of ${sent}`);
    assert.ok(idlePart(fleet) < MAX_IDLE, `${idlePart(fleet)}`);
  });

  // A target of 50 ms is shorter than the time until all daemons know of a
  // request, so none can start on time.
  test(`requests that are always late are served, ${daemons} daemons`, (t) => {
    const senders = [
      { ...FLOOD, targetMs: 2_000 },
      { ...SMALL, targetMs: 50 },
    ];
    const fleet = new ShareFleet(t, { daemons, seed: 1, senders });
    fleet.run(RUN_MS);
    const { sent, done } = fleet.count("small", COUNTED);
    assert.ok(done >= 0.95 * sent, `${done} of ${sent}`);
  });

  test(`less urgent ranks get a twentieth beside a flood, ${daemons} daemons`, (t) => {
    const senders = [
      { workspace: "urgent", perS: 200 },
      { workspace: "middle", perS: 50, rank: 1 },
      { workspace: "last", perS: 50, rank: 2 },
    ];
    const fleet = new ShareFleet(t, { daemons, seed: 1, senders });
    fleet.run(RUN_MS);
    const urgent = fleet.count("urgent", COUNTED).done;
    for (const workspace of ["middle", "last"]) {
      const { done } = fleet.count(workspace, COUNTED);
      assert.ok(done >= 0.02 * urgent, `${done} beside ${urgent}`);
      assert.ok(done <= 0.08 * urgent, `${done} beside ${urgent}`);
    }
    assert.ok(idlePart(fleet) < MAX_IDLE, `${idlePart(fleet)}`);
  });
}

test("a workspace alone has all of the capacity", (t) => {
  const fleet = new ShareFleet(t, { daemons: 7, seed: 1, senders: [FLOOD] });
  fleet.run(RUN_MS);
  assert.ok(idlePart(fleet) < MAX_IDLE, `${idlePart(fleet)}`);
});

// Guards against a credit for idleness: the flood that came first would get
// nothing for as long as the other was idle.
test("a flood that begins later takes turns after the half-life", (t) => {
  const fleet = new ShareFleet(t, {
    daemons: 7,
    seed: 1,
    senders: [FLOOD, { workspace: "later", perS: 280, from: 4_000 }],
  });
  fleet.run(9_500);
  const span = { from: 5_500, to: 8_000 };
  const first = fleet.count("flood", span).done;
  const later = fleet.count("later", span).done;
  assert.ok(Math.abs(first - later) < 0.25 * later, `${first} and ${later}`);
});

const FLOW = { service: "service", rank: 0, workspace: "a" };

function costsOf(members: readonly Member[]): readonly number[] {
  return members.map(({ shares }) => shares.costBefore("service", 1));
}

function chargeAll(members: readonly Member[], cost: number): void {
  for (const { shares } of members) {
    shares.recordStart(FLOW, cost, performance.now());
  }
}

// Guards against costs that are lost or counted twice on the way through relays,
// and against credits when a relay is lost.
for (const [daemons, domains] of [[8, 3], [72, 3]] as const) {
  test(`each of ${daemons} daemons counts all costs once`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, { daemons, domains });
    const charge = async (members: readonly Member[]) => {
      const before = costsOf(members);
      chargeAll(members, 100);
      await clock.advance(8_000);
      return costsOf(members).map((cost, index) => cost - before[index]!);
    };
    await charge(fleet.members);
    assert.deepEqual(
      new Set(await charge(fleet.members)),
      new Set([100 * daemons]),
    );
    fleet.members[0]!.end({ power: true });
    const { alive } = fleet;
    const whileLost = await charge(alive);
    assert.ok(whileLost.every((cost) => cost >= 100 && cost <= 100 * daemons));
    await charge(alive);
    assert.deepEqual(
      new Set(await charge(alive)),
      new Set([100 * (daemons - 1)]),
    );
  });
}
