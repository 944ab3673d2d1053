import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "./fake_clock.ts";
import { Fleet } from "./fleet.ts";
import type { FleetShape } from "./fleet.ts";

/** Mbit/s of the narrowest link of a host. */
const NARROW_MBPS = 7;
/** Milliseconds from the last start in which all know what to serve with. */
const READY_MS = 1_000;
/** Bytes that such a link carries in this time. */
const READY_BYTES = NARROW_MBPS * 125 * READY_MS;
const SETTLED_MS = 5_000;

const FLEETS: readonly FleetShape[] = [
  { daemons: 15, domains: 5, runners: 101, sendMbps: NARROW_MBPS },
  { daemons: 102, domains: 5, runners: 998, sendMbps: NARROW_MBPS },
  { daemons: 380, domains: 6, runners: 2_400, sendMbps: NARROW_MBPS },
];

// All daemons lose power at the same moment, and their callers return at once.
// Each daemon that starts again dials the same few seeds and asks them for the
// runners. The list grows with the fleet, and so does the number of those that
// ask: a seed's link was full for seconds, and the answers to its callers and the
// prompts to its runners waited behind lists.
for (const shape of FLEETS) {
  const { daemons, runners } = shape;
  test(`${daemons} daemons before ${runners} runners are back within a second`, async (t) => {
    const clock = new FakeClock(t);
    const fleet = new Fleet(clock, shape);
    await fleet.startAll();
    await clock.advance(SETTLED_MS);
    fleet.configure(1);
    await clock.advance(SETTLED_MS);
    await fleet.restartAll();
    await clock.advance(READY_MS);
    const unready = fleet.members.filter(({ ready }) => !ready);
    assert.equal(unready.length, 0);
    const sent = fleet.members.map(({ counts }) => counts.bytes);
    const most = Math.max(...sent);
    t.diagnostic(`${daemons} daemons: ${most} bytes at the busiest`);
    assert.ok(most < READY_BYTES, `${most} bytes`);
  });
}
