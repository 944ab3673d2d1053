import assert from "node:assert/strict";
import { test } from "node:test";
import { StaleReads } from "./stale_reads.ts";

const MAX_AGE_MS = 4_000;
const CHECK_MS = 200;

/** Counts the reads of a fleet in an outage, for each second since it was stale. */
function readsInOutage(daemons: number, seconds: number): readonly number[] {
  let seed = 1;
  const random = () => (seed = seed * 48_271 % 2_147_483_647) / 2_147_483_647;
  const fleet = Array.from({ length: daemons }, () => new StaleReads(random));
  const reads = new Array<number>(seconds).fill(0);
  for (let now = 0; now < seconds * 1_000; now += CHECK_MS) {
    const inputs = {
      now,
      ageMs: MAX_AGE_MS + now,
      maxAgeMs: MAX_AGE_MS,
      respondedAt: -Infinity,
      failedAt: now,
      othersAt: -Infinity,
      daemons,
    };
    const reading = fleet.filter((reader) => reader.begin(inputs));
    reads[Math.floor(now / 1_000)]! += reading.length;
  }
  return reads;
}

// Guards against a storm of calls when the store is down for the whole fleet.
test("the reads of a fleet in an outage do not grow with it", () => {
  for (const daemons of [72, 195, 380]) {
    const reads = readsInOutage(daemons, 60);
    assert.ok(Math.max(...reads) <= 40, `${daemons}: ${reads}`);
  }
});

test("a small fleet reads soon, and then less often", () => {
  const [first, ...later] = readsInOutage(9, 30);
  assert.ok(first! >= 9, `${first}`);
  const perSecond = later.reduce((sum, reads) => sum + reads, 0) / 29;
  assert.ok(perSecond <= 9 / 2 + 1, `${perSecond}`);
});

// Guards against a read that stops where the store has dropped its history: the list
// that must follow waited for the next turn of this daemon.
test("a read goes on until the store has responded or failed", () => {
  const reads = new StaleReads(() => 0);
  const inputs = {
    now: 5_000,
    ageMs: 5_000,
    maxAgeMs: MAX_AGE_MS,
    respondedAt: -Infinity,
    failedAt: 1_000,
    othersAt: -Infinity,
    daemons: 9,
  };
  assert.ok(!reads.continues(inputs), "before the first read");
  assert.ok(reads.begin(inputs));
  assert.ok(reads.continues({ ...inputs, now: 5_010 }));
  assert.ok(!reads.continues({ ...inputs, failedAt: 5_010 }));
  assert.ok(
    reads.continues({ ...inputs, respondedAt: 6_000, failedAt: 5_010 }),
  );
  assert.ok(
    !reads.continues({ ...inputs, respondedAt: 5_010, failedAt: 6_000 }),
  );
  assert.ok(
    !reads.continues({ ...inputs, respondedAt: 5_010, othersAt: 6_000 }),
  );
});
