import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { CRASHING, CrashingFleet } from "./crashing_fleet.ts";
import { sendRequest, waitUntil } from "./fixtures.ts";

/** Time within which linked daemons know of each other's crashes, in ms. */
const PROPAGATION_MS = 3_000;
/** Crashes after which a request is quarantined. */
const CRASHES = 3;
/** Attempts that may still reach a runner after that. */
const ALLOWED = 3;
const REPEATS = 20;
const SHAPE = { routers: 3, runners: 8 };

/** Sends the crashing request until all routers refuse it. */
async function crashUntilRefused({ linked }: CrashingFleet): Promise<void> {
  const { length } = linked.routers;
  for (let refused = 0; refused < length;) {
    const { status } = await linked.send(CRASHING);
    refused = status === 503 ? refused + 1 : 0;
  }
}

// Guards against a request that goes on to further runners after it has crashed three.
test("a request that crashed three runners reaches at most three more", async (t) => {
  const fleet = await CrashingFleet.start(t, { routers: 7, runners: 12 });
  while (fleet.crashedRunners < CRASHES) await fleet.linked.send(CRASHING);
  await pause(PROPAGATION_MS);
  const before = fleet.countArrivals(CRASHING);
  for (let sent = 0; sent < REPEATS; sent++) await fleet.linked.send(CRASHING);
  const arrived = fleet.countArrivals(CRASHING) - before;
  t.diagnostic(`${fleet.crashedRunners} crashes, sent ${arrived} times after`);
  assert.ok(arrived <= ALLOWED, `sent ${arrived} times more`);
});

// Guards against refusals of requests that only resemble the crashing one.
test("other requests of the same caller and path are served, also repeated ones", async (t) => {
  const fleet = await CrashingFleet.start(t, SHAPE);
  while (fleet.crashedRunners < CRASHES) {
    await Promise.all(
      [CRASHING, "poll", "poll"].map((body) => fleet.linked.send(body)),
    );
  }
  await fleet.waitUntilRestored();
  for (let sent = 0; sent < REPEATS; sent++) {
    const [repeated, other] = [
      await fleet.linked.send("poll"),
      await fleet.linked.send(`other-${sent}`),
    ];
    assert.deepEqual([repeated.status, other.status], [200, 200]);
  }
});

// Guards against a refusal that comes late, or after the request was executed.
test("a quarantined request is refused at once with retry-after, and not executed", async (t) => {
  const fleet = await CrashingFleet.start(t, SHAPE);
  await crashUntilRefused(fleet);
  const before = fleet.arrivals.length;
  const { status, body, headers } = await fleet.linked.send(CRASHING);
  assert.equal(status, 503);
  assert.deepEqual(JSON.parse(body), { error: "quarantined" });
  assert.ok(Number(headers["retry-after"]) > 0);
  assert.equal(fleet.arrivals.length, before);
});

// Guards against runners that crash because of attempts in their queues.
test("attempts that are queued at runners are withdrawn", async (t) => {
  const fleet = await CrashingFleet.start(t, SHAPE);
  fleet.requestsToQueue = 2;
  const waiting = [
    fleet.linked.send(CRASHING),
    fleet.linked.send(CRASHING),
  ];
  await waitUntil(() => fleet.countArrivals(CRASHING) === 2);
  await crashUntilRefused(fleet);
  const responses = await Promise.all(waiting);
  assert.deepEqual(responses.map(({ status }) => status), [502, 502]);
  assert.equal(fleet.withdrawn, 2);
});

// Guards against the router's own retries of a crashing request.
test("a crashing request that may be retried crashes few runners, and ends in 502", async (t) => {
  const route = {
    repetition: "idempotent",
    maxAttempts: 8,
    targetMs: 2_000,
  } as const;
  const fleet = await CrashingFleet.start(t, { ...SHAPE, route });
  const { status } = await fleet.linked.send(CRASHING);
  assert.equal(status, 502);
  assert.ok(
    fleet.crashedRunners <= CRASHES + ALLOWED,
    `${fleet.crashedRunners} crashes`,
  );
});

// Guards against a restarted daemon that learns of the request only by new crashes.
test("a daemon that starts later learns of the quarantine from its peers", async (t) => {
  const fleet = await CrashingFleet.start(t, SHAPE);
  await crashUntilRefused(fleet);
  const router = await fleet.linked.add();
  const send = () => sendRequest(router, { method: "POST", body: CRASHING });
  const before = fleet.countArrivals(CRASHING);
  await waitUntil(() =>
    router.crashes.snapshot(router.now()).crashed.length > 0
  );
  assert.equal((await send()).status, 503);
  assert.equal(fleet.countArrivals(CRASHING), before);
});
