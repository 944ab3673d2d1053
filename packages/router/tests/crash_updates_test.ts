import assert from "node:assert/strict";
import { test } from "node:test";
import type { FakeClock } from "./fake_clock.ts";
import { SIZES, startSettledFleet } from "./fleet.ts";
import type { FleetShape, Member } from "./fleet.ts";

/** Time between two attempts of the request, at any daemons, in ms. */
const RETRY_MS = 170;
/** Time from the start of the request until its runner crashes, in ms. */
const CRASH_DELAY_MS = 45;
/** Bound for an update to reach all daemons, in ms; 3 to 5 s are required. */
const PROPAGATION_MS = 1_000;
const LARGE: FleetShape = { daemons: 72, domains: 3 };

/** Simulates the crash of a runner while it runs a request of this daemon. */
function crashRunner(
  member: Member,
  options: { readonly suspect: string; readonly runner: string },
): void {
  const now = performance.now();
  const run = { ...options, startedAt: now - CRASH_DELAY_MS, endedAt: now };
  member.crashes.recordCrashes([run], now);
}

/** Crashes three runners by one request, sent by three daemons in turn. */
async function crashThreeRunners(
  clock: FakeClock,
  members: readonly Member[],
  suspect: string,
): Promise<void> {
  for (const index of [0, 1, 2]) {
    await clock.advance(RETRY_MS);
    const member = members[(7 * index) % members.length]!;
    crashRunner(member, { suspect, runner: `${suspect}-${index}` });
  }
}

function refusingDaemons(members: readonly Member[], suspect: string) {
  return members.filter(({ crashes }) =>
    crashes.quarantine(suspect, performance.now()) !== undefined
  );
}

function assertAllRefuse(members: readonly Member[], suspect: string) {
  const { length } = refusingDaemons(members, suspect);
  assert.equal(length, members.length, `${length} of ${members.length}`);
}

for (const shape of SIZES) {
  const { daemons } = shape;

  test(`all of ${daemons} daemons refuse a request that crashed three runners`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    await crashThreeRunners(clock, fleet.members, "bad");
    await clock.advance(PROPAGATION_MS);
    assertAllRefuse(fleet.members, "bad");
  });

  test(`one of ${daemons} daemons still refuses the request after a restart`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    await crashThreeRunners(clock, fleet.members, "bad");
    await clock.advance(PROPAGATION_MS);
    const [member] = fleet.members;
    member!.end();
    await clock.advance(500);
    const restarted = fleet.restart(member!);
    await clock.advance(2 * PROPAGATION_MS);
    assertAllRefuse([restarted], "bad");
  });
}

// Guards against crashes during a network partition that the other side never
// learns about.
test("both sides of a network partition learn the other's crashes when it ends", async (t) => {
  const { clock, fleet } = await startSettledFleet(t, LARGE);
  const [inside, outside] = fleet.sides("d-0");
  fleet.partition("d-0");
  await crashThreeRunners(clock, inside, "bad-inside");
  await crashThreeRunners(clock, outside, "bad-outside");
  await clock.advance(10_000);
  assertAllRefuse(inside, "bad-inside");
  assertAllRefuse(outside, "bad-outside");
  assert.equal(refusingDaemons(outside, "bad-inside").length, 0);
  fleet.heal();
  await clock.advance(10_000);
  assertAllRefuse(fleet.members, "bad-inside");
  assertAllRefuse(fleet.members, "bad-outside");
});

/** Bound for the average traffic to one neighbour, in bytes a second. */
const CONTROL_BYTES_PER_S = 29_000;

// Guards against links that are saturated by crash updates when a caller crashes
// runners with a new body each time.
test("hundreds of crash updates a second do not saturate links", async (t) => {
  const { clock, fleet } = await startSettledFleet(t, LARGE);
  const seconds = 10;
  for (let count = 0; count < 200 * seconds; count++) {
    const member = fleet.members[count % LARGE.daemons]!;
    const runner = `r-${Math.floor(count / 10)}`;
    crashRunner(member, { suspect: `varied-${count}`, runner });
    await clock.advance(5);
  }
  for (const { counts, links, contact } of fleet.members) {
    const perLink = counts.bytes / seconds / links.size;
    assert.ok(
      perLink < CONTROL_BYTES_PER_S,
      `${contact.name}: ${perLink} bytes`,
    );
  }
  await crashThreeRunners(clock, fleet.members, "bad");
  await clock.advance(PROPAGATION_MS);
  assertAllRefuse(fleet.members, "bad");
});
