import assert from "node:assert/strict";
import { test } from "node:test";
import { SIZES, startSettledFleet } from "./fleet.ts";
import type { FleetShape, Member } from "./fleet.ts";

/** Bound for an update to reach all daemons, in ms; 3 to 5 s are required. */
const PROPAGATION_MS = 1_000;
/** Time from the loss of a daemon until all others have removed it, in ms. */
const TAKEOVER_MS = 10_000;
const RUNNER = "r-1";
const PER_S = 1.4;
/** Number of daemons that have a share of the limit. */
const SHARE_HOLDERS = 5;
const LARGE: FleetShape = { daemons: 72, domains: 3 };

/** Simulates a response of the runner at a daemon, with or without a limit. */
function receiveResponse({ limits }: Member, perS: number | undefined): void {
  const now = performance.now();
  const stated = perS === undefined
    ? undefined
    : { kind: "limit", perS } as const;
  limits.recordStated(RUNNER, stated, { sentAt: now, now });
}

function shareHolders(members: readonly Member[]): readonly Member[] {
  return members.filter(({ limits }) =>
    limits.hasShare(RUNNER, performance.now())
  );
}

function assertLimitAtAll(
  members: readonly Member[],
  perS: number | undefined,
) {
  for (const { limits, contact } of members) {
    assert.equal(limits.perSecond(RUNNER), perS, contact.name);
  }
}

for (const shape of SIZES) {
  const { daemons } = shape;

  test(`all of ${daemons} daemons apply a limit that one of them received`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    receiveResponse(fleet.members.at(-1)!, PER_S);
    await clock.advance(PROPAGATION_MS);
    assertLimitAtAll(fleet.members, PER_S);
    // All daemons compute the same few holders of shares.
    assert.equal(shareHolders(fleet.members).length, SHARE_HOLDERS);
    await clock.advance(PROPAGATION_MS);
    receiveResponse(shareHolders(fleet.members)[0]!, undefined);
    await clock.advance(PROPAGATION_MS);
    assertLimitAtAll(fleet.members, undefined);
  });

  test(`the others of ${daemons} daemons take over the shares of one that is lost`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    receiveResponse(fleet.members[0]!, PER_S);
    await clock.advance(PROPAGATION_MS);
    const [lost] = shareHolders(fleet.members);
    lost!.end({ power: true });
    await clock.advance(TAKEOVER_MS);
    assert.equal(shareHolders(fleet.alive).length, SHARE_HOLDERS);
    const restarted = fleet.restart(lost!);
    await clock.advance(2 * PROPAGATION_MS);
    assertLimitAtAll([restarted], PER_S);
  });
}

// Guards against a limit that stays in force in a failure domain that was cut off
// when the limit ended.
test("a failure domain learns after a partition that a limit has ended", async (t) => {
  const { clock, fleet } = await startSettledFleet(t, LARGE);
  receiveResponse(fleet.members[0]!, PER_S);
  await clock.advance(PROPAGATION_MS);
  const [inside, outside] = fleet.sides("d-0");
  fleet.partition("d-0");
  await clock.advance(TAKEOVER_MS);
  receiveResponse(outside[0]!, undefined);
  await clock.advance(PROPAGATION_MS);
  assertLimitAtAll(outside, undefined);
  assertLimitAtAll(inside, PER_S);
  fleet.heal();
  await clock.advance(2 * TAKEOVER_MS);
  assertLimitAtAll(fleet.members, undefined);
});
