import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { CRASHING, CrashingFleet } from "./crashing_fleet.ts";

/** Time in which routers tell each other of a crash, in ms. */
const CONTACT_MS = 3_000;
/** Crashes from which that time counts. */
const CRASHES = 5;
/** Requests with the crashing part that may reach runners after that. */
const ALLOWED = 3;
/** Minimum share of other requests that are served meanwhile. */
const SERVED_SHARE = 0.5;
const CRASHING_INTERVAL_MS = 160;
const OTHER_INTERVAL_MS = 40;
const SEND_MS = 11_000;
const SHAPE = { routers: 7, runners: 12 };
/** Parts in the middle of other prompts. */
const OTHER_PARTS = 5;

/** What became of a request that crashes no runner. */
interface Other {
  readonly sentAt: number;
  readonly served: boolean;
}

/** Sends at an interval until a time; each request differs from all others. */
async function sendEvery(
  intervalMs: number,
  send: (index: number) => Promise<void>,
): Promise<void> {
  const until = performance.now() + SEND_MS;
  const sent: Promise<void>[] = [];
  for (let index = 0; performance.now() < until; index++) {
    sent.push(send(index));
    await pause(intervalMs);
  }
  await Promise.all(sent);
}

/** Sends requests that share a crashing part, and others beside them. */
async function sendAll({ linked }: CrashingFleet): Promise<readonly Other[]> {
  const others: Other[] = [];
  await Promise.all([
    sendEvery(CRASHING_INTERVAL_MS, async (index) => {
      const prompt = `first,crashing,own-${index}`;
      await linked.send(`${CRASHING}-${index}`, { prompt });
    }),
    sendEvery(OTHER_INTERVAL_MS, async (index) => {
      const sentAt = performance.now();
      const prompt = `first,part-${index % OTHER_PARTS},other-${index}`;
      const { status } = await linked.send(`other-${index}`, { prompt });
      others.push({ sentAt, served: status === 200 });
    }),
  ]);
  return others;
}

// Guards against requests that are never alike and crash runners by a common part.
test("requests with a part that crashed five runners reach at most three more", async (t) => {
  const fleet = await CrashingFleet.start(t, SHAPE);
  const others = await sendAll(fleet);
  const from = (fleet.crashedAt[CRASHES - 1] ?? fleet.crashedAt.at(-1)!) +
    CONTACT_MS;
  const late = fleet.countArrivals(CRASHING, from);
  const judged = others.filter(({ sentAt }) => sentAt > from + CONTACT_MS);
  const served = judged.filter((other) => other.served).length;
  t.diagnostic(
    `${fleet.crashedRunners} crashes, ${late} late, ` +
      `${served} of ${judged.length} others served`,
  );
  assert.ok(late <= ALLOWED, `sent ${late} times more`);
  assert.ok(served >= SERVED_SHARE * judged.length, `served ${served}`);
});
