import assert from "node:assert/strict";
import { test } from "node:test";
import { SIZES, startSettledFleet } from "./fleet.ts";

/** Bytes a second that paces may take of a daemon. */
const MAX_BYTES_PER_S = 13_000;
const SPAN_MS = 4_000;
const STEP_MS = 100;

// Guards against estimates from the few responses that one daemon of a large
// fleet sees, and against an exchange that grows with the fleet: each daemon
// observes a different runner every 100 ms.
for (const shape of SIZES) {
  test(`all of ${shape.daemons} daemons know a slow runner, within the byte budget`, async (t) => {
    const { clock, fleet } = await startSettledFleet(t, shape);
    const runners = fleet.members[0]!.directory.list.runners;
    const [slow, usual] = [runners[1]!, runners[2]!];
    const run = async (observes: boolean): Promise<number> => {
      fleet.resetCounts();
      for (let step = 0; step < SPAN_MS / STEP_MS; step += 1) {
        for (const [index, { paces }] of fleet.members.entries()) {
          if (!observes) break;
          const runner = runners[(step + index) % runners.length]!;
          const ms = runner === slow ? 400 : 100;
          const now = performance.now();
          paces.recordStated(runner, 100, now);
          paces.recordFirstEvent(runner, { ms, tokens: 3_000, now });
        }
        await clock.advance(STEP_MS);
      }
      const bytes = fleet.members.map(({ counts }) => counts.bytes);
      return Math.max(...bytes) * 1_000 / SPAN_MS;
    };
    const idle = await run(false);
    const busy = await run(true);
    t.diagnostic(`${Math.round(busy - idle)} bytes a second for paces`);
    assert.ok(busy - idle < MAX_BYTES_PER_S, `${idle} idle, ${busy} busy`);
    for (const { paces, contact } of fleet.members) {
      const pace = paces.of(slow.service);
      const now = performance.now();
      const ratio = pace.prefillMs(slow.id, 1, now) /
        pace.prefillMs(usual.id, 1, now);
      assert.ok(ratio > 1.8, `${contact.name}: ${ratio}`);
    }
  });
}
