import assert from "node:assert/strict";
import { test } from "node:test";
import type { FakeClock } from "./fake_clock.ts";
import { SIZES, startSettledFleet } from "./fleet.ts";
import type { FleetShape, Member } from "./fleet.ts";

/** Milliseconds between two tries of the request, at any daemon. */
const AGAIN_MS = 170;
/** Milliseconds for which the request runs until its runner has ended. */
const RUN_MS = 45;
/** Well within the 3 to 5 s in which daemons are to be in touch. */
const SPREAD_MS = 1_000;
const LARGE: FleetShape = { daemons: 72, domains: 3 };

/** A runner ends under a request of this daemon. */
function endRunner(
  member: Member,
  options: { readonly fingerprint: string; readonly runner: string },
): void {
  const now = performance.now();
  const run = { ...options, startedAt: now - RUN_MS, endedAt: now };
  member.crashes.recordCrashes([run], now);
}

/** Three runners end under one request that goes from daemon to daemon. */
async function endThree(
  clock: FakeClock,
  members: readonly Member[],
  fingerprint: string,
): Promise<void> {
  for (const index of [0, 1, 2]) {
    await clock.advance(AGAIN_MS);
    const member = members[(7 * index) % members.length]!;
    endRunner(member, { fingerprint, runner: `${fingerprint}-${index}` });
  }
}

function refusing(members: readonly Member[], fingerprint: string) {
  return members.filter(({ crashes }) =>
    crashes.quarantine(fingerprint, performance.now()) !== undefined
  );
}

function assertAllRefuse(members: readonly Member[], fingerprint: string) {
  const { length } = refusing(members, fingerprint);
  assert.equal(length, members.length, `${length} of ${members.length}`);
}

for (const shape of SIZES) {
  const { daemons } = shape;

  test(`all of ${daemons} daemons refuse a request that ended three runners`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    await endThree(clock, fleet.members, "bad");
    await clock.advance(SPREAD_MS);
    assertAllRefuse(fleet.members, "bad");
  });

  test(`one of ${daemons} daemons that starts again refuses it, too`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    await endThree(clock, fleet.members, "bad");
    await clock.advance(SPREAD_MS);
    const [member] = fleet.members;
    member!.end();
    await clock.advance(500);
    const again = fleet.restart(member!);
    await clock.advance(2 * SPREAD_MS);
    assertAllRefuse([again], "bad");
  });
}

// Guards against a cut failure domain that learns nothing of what it missed.
test("a failure domain that was cut off catches up, and others with it", async (t) => {
  const { clock, fleet } = await startSettledFleet(t, LARGE);
  const [inside, outside] = fleet.sides("d-0");
  fleet.partition("d-0");
  await endThree(clock, inside, "bad-inside");
  await endThree(clock, outside, "bad-outside");
  await clock.advance(10_000);
  assertAllRefuse(inside, "bad-inside");
  assertAllRefuse(outside, "bad-outside");
  assert.equal(refusing(outside, "bad-inside").length, 0);
  fleet.heal();
  await clock.advance(10_000);
  assertAllRefuse(fleet.members, "bad-inside");
  assertAllRefuse(fleet.members, "bad-outside");
});

/** Bytes a second that one neighbour may be told, on average. */
const CONTROL_BYTES_PER_S = 29_000;

// Guards against a caller that ends runners with ever new bodies, and fills links.
test("requests at ends of runners by the hundred fill no link", async (t) => {
  const { clock, fleet } = await startSettledFleet(t, LARGE);
  const seconds = 10;
  for (let count = 0; count < 200 * seconds; count++) {
    const member = fleet.members[count % LARGE.daemons]!;
    const runner = `r-${Math.floor(count / 10)}`;
    endRunner(member, { fingerprint: `varied-${count}`, runner });
    await clock.advance(5);
  }
  for (const { counts, links, contact } of fleet.members) {
    const each = counts.bytes / seconds / links.size;
    assert.ok(each < CONTROL_BYTES_PER_S, `${contact.name}: ${each} bytes`);
  }
  await endThree(clock, fleet.members, "bad");
  await clock.advance(SPREAD_MS);
  assertAllRefuse(fleet.members, "bad");
});
