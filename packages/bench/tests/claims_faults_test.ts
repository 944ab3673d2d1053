import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import type { Fault } from "@umbermast/testing";
import { ClaimFleet } from "../src/claims_fleet.ts";

const KEYS_PER_WAVE = 60;
const MEMBERS = 3;
const WAVES: readonly (Fault | undefined)[] = [
  undefined,
  { fault: "lose-reply", count: 10 },
  { fault: "slow", delayMs: 300, seconds: 1 },
  { fault: "lose-reply", count: 10 },
  { fault: "down", part: "objects", seconds: 1 },
  undefined,
];

/** One try; true when it may send. */
function tried(fleet: ClaimFleet, key: string): Promise<boolean> {
  const claim = fleet.next().claim(key, { digest: "body" });
  return Effect.runPromise(Effect.match(claim, {
    onFailure: () => false,
    onSuccess: (outcome) =>
      outcome._tag === "Claimed" && outcome.claim.mayStart(),
  }));
}

// Callers try each key through every member at once, and once more after that,
// while the store loses replies, is slow and goes down. Each try that is told
// "claimed" would send; two for one key would be two vans.
test("each key is claimed once over faults of the store", async (t) => {
  const fleet = await ClaimFleet.start(MEMBERS, { timeoutMs: 20_000 });
  t.after(() => fleet.close());
  const claimed = new Map<string, number>();
  const tryOnce = async (key: string) => {
    if (!await tried(fleet, key)) return;
    claimed.set(key, (claimed.get(key) ?? 0) + 1);
  };
  for (const [wave, fault] of WAVES.entries()) {
    if (fault !== undefined) await fleet.order(fault);
    const keys = Array.from(
      { length: KEYS_PER_WAVE },
      (_, index) => `wave ${wave} key ${index}`,
    );
    const tries = keys.flatMap((key) =>
      Array.from({ length: MEMBERS }, () => tryOnce(key))
    );
    await Promise.all(tries);
    await Promise.all(keys.map(tryOnce));
  }
  const twice = [...claimed].filter(([, times]) => times > 1);
  assert.deepEqual(twice, []);
  assert.ok(claimed.size >= KEYS_PER_WAVE, `${claimed.size} claimed`);
});
