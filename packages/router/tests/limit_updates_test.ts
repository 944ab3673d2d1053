import assert from "node:assert/strict";
import { test } from "node:test";
import { SIZES, startSettledFleet } from "./fleet.ts";
import type { FleetShape, Member } from "./fleet.ts";

/** Well within the 3 to 5 s in which daemons are to be in touch. */
const SPREAD_MS = 1_000;
/** From the loss of a daemon until all see that it is gone. */
const TAKEOVER_MS = 10_000;
const RUNNER = "r-1";
const PER_S = 1.4;
/** Daemons that have parts of it. */
const HOLDERS = 5;
const LARGE: FleetShape = { daemons: 72, domains: 3 };

/** An answer of the runner at a daemon, with a limit or without. */
function hear({ limits }: Member, perS: number | undefined): void {
  const now = performance.now();
  const stated = perS === undefined
    ? undefined
    : { kind: "limit", perS } as const;
  limits.recordStated(RUNNER, stated, { sentAt: now, now });
}

function holders(members: readonly Member[]): readonly Member[] {
  return members.filter(({ limits }) =>
    limits.hasShare(RUNNER, performance.now())
  );
}

function assertAllKnow(members: readonly Member[], perS: number | undefined) {
  for (const { limits, contact } of members) {
    assert.equal(limits.of(RUNNER), perS, contact.name);
  }
}

for (const shape of SIZES) {
  const { daemons } = shape;

  test(`all of ${daemons} daemons keep a limit that one of them heard of`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    hear(fleet.members.at(-1)!, PER_S);
    await clock.advance(SPREAD_MS);
    assertAllKnow(fleet.members, PER_S);
    // The same few have parts, at whichever daemon it is worked out.
    assert.equal(holders(fleet.members).length, HOLDERS);
    await clock.advance(SPREAD_MS);
    hear(holders(fleet.members)[0]!, undefined);
    await clock.advance(SPREAD_MS);
    assertAllKnow(fleet.members, undefined);
  });

  test(`of ${daemons} daemons others take over the parts of one that ends`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    hear(fleet.members[0]!, PER_S);
    await clock.advance(SPREAD_MS);
    const [lost] = holders(fleet.members);
    lost!.end({ power: true });
    await clock.advance(TAKEOVER_MS);
    assert.equal(holders(fleet.alive).length, HOLDERS);
    const again = fleet.restart(lost!);
    await clock.advance(2 * SPREAD_MS);
    assertAllKnow([again], PER_S);
  });
}

// Guards against a limit that ends for those alone who were cut off when it did.
test("a failure domain that was cut off hears that a limit has ended", async (t) => {
  const { clock, fleet } = await startSettledFleet(t, LARGE);
  hear(fleet.members[0]!, PER_S);
  await clock.advance(SPREAD_MS);
  const [inside, outside] = fleet.sides("d-0");
  fleet.partition("d-0");
  await clock.advance(TAKEOVER_MS);
  hear(outside[0]!, undefined);
  await clock.advance(SPREAD_MS);
  assertAllKnow(outside, undefined);
  assertAllKnow(inside, PER_S);
  fleet.heal();
  await clock.advance(2 * TAKEOVER_MS);
  assertAllKnow(fleet.members, undefined);
});
