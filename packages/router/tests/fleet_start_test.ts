import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "./fake_clock.ts";
import { Fleet } from "./fleet.ts";
import type { FleetShape } from "./fleet.ts";

/** Bandwidth of the slowest link of a host, in Mbit/s. */
const SLOWEST_MBPS = 7;
/** Time from the last start until all daemons are ready, in ms. */
const READY_MS = 1_000;
/** Bytes that the slowest link carries in this time. */
const READY_BYTES = SLOWEST_MBPS * 125 * READY_MS;
const SETTLED_MS = 5_000;

const FLEETS: readonly FleetShape[] = [
  { daemons: 15, domains: 5, runners: 101, sendMbps: SLOWEST_MBPS },
  { daemons: 102, domains: 5, runners: 998, sendMbps: SLOWEST_MBPS },
  { daemons: 380, domains: 6, runners: 2_400, sendMbps: SLOWEST_MBPS },
];

// Guards against seeds whose links are saturated when all daemons restart after a
// loss of power, while all callers return. Each daemon fetches the list of runners
// from the same few seeds. Both the list and the number of daemons grow with the
// fleet: a seed's link was full for seconds, and responses to callers and prompts to
// runners were queued behind lists.
for (const shape of FLEETS) {
  const { daemons, runners } = shape;
  test(`${daemons} daemons with ${runners} runners are ready again within a second`, async (t) => {
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
