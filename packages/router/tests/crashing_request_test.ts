import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { CRASHING, CrashingFleet } from "./crashing_fleet.ts";
import { sendRequest, waitUntil } from "./fixtures.ts";

/** Milliseconds in which daemons that are in touch know what one of them does. */
const CONTACT_MS = 3_000;
/** Ends of runners after which a request is known for them. */
const ENDS = 3;
/** Sends of it that are allowed after that. */
const ALLOWED = 3;
const TRIES = 20;
const SHAPE = { routers: 3, runners: 8 };

/** Sends the request that ends runners until all routers know it for that. */
async function endRunners({ linked }: CrashingFleet): Promise<void> {
  const { length } = linked.routers;
  for (let refused = 0; refused < length;) {
    const { status } = await linked.send(CRASHING);
    refused = status === 503 ? refused + 1 : 0;
  }
}

// Guards against a request that is known to end its runners being sent to more.
test("a request that ended three runners is sent to no more than three others", async (t) => {
  const fleet = await CrashingFleet.start(t, { routers: 7, runners: 12 });
  while (fleet.crashedRunners < ENDS) await fleet.linked.send(CRASHING);
  await pause(CONTACT_MS);
  const before = fleet.countArrivals(CRASHING);
  for (let tries = 0; tries < TRIES; tries++) await fleet.linked.send(CRASHING);
  const arrived = fleet.countArrivals(CRASHING) - before;
  t.diagnostic(`${fleet.crashedRunners} ends, sent ${arrived} times after`);
  assert.ok(arrived <= ALLOWED, `sent ${arrived} times more`);
});

// Guards against refusals of what only resembles the request that ends runners.
test("other bodies of its caller on its path, and repeated ones, stay served", async (t) => {
  const fleet = await CrashingFleet.start(t, SHAPE);
  while (fleet.crashedRunners < ENDS) {
    await Promise.all(
      [CRASHING, "poll", "poll"].map((body) => fleet.linked.send(body)),
    );
  }
  await fleet.waitUntilRestored();
  for (let tries = 0; tries < TRIES; tries++) {
    const [same, other] = [
      await fleet.linked.send("poll"),
      await fleet.linked.send(`other-${tries}`),
    ];
    assert.deepEqual([same.status, other.status], [200, 200]);
  }
});

// Guards against "not run" for what has run, and against callers left waiting.
test("it is refused at once, told when to come back, and has not run", async (t) => {
  const fleet = await CrashingFleet.start(t, SHAPE);
  await endRunners(fleet);
  const before = fleet.arrivals.length;
  const { status, body, headers } = await fleet.linked.send(CRASHING);
  assert.equal(status, 503);
  assert.deepEqual(JSON.parse(body), { error: "quarantined" });
  assert.ok(Number(headers["retry-after"]) > 0);
  assert.equal(fleet.arrivals.length, before);
});

// Guards against runners that end under tries which they had in their queues.
test("tries that wait at runners are taken back from them", async (t) => {
  const fleet = await CrashingFleet.start(t, SHAPE);
  fleet.requestsToQueue = 2;
  const waiting = [
    fleet.linked.send(CRASHING),
    fleet.linked.send(CRASHING),
  ];
  await waitUntil(() => fleet.countArrivals(CRASHING) === 2);
  await endRunners(fleet);
  const answers = await Promise.all(waiting);
  assert.deepEqual(answers.map(({ status }) => status), [502, 502]);
  assert.equal(fleet.withdrawn, 2);
});

// Guards against own retries that carry the request from runner to runner.
test("one try that may be repeated ends few runners and is not told not to have run", async (t) => {
  const route = {
    repetition: "idempotent",
    maxAttempts: 8,
    targetMs: 2_000,
  } as const;
  const fleet = await CrashingFleet.start(t, { ...SHAPE, route });
  const { status } = await fleet.linked.send(CRASHING);
  assert.equal(status, 502);
  assert.ok(
    fleet.crashedRunners <= ENDS + ALLOWED,
    `${fleet.crashedRunners} ends`,
  );
});

// Guards against a restarted daemon that has to learn by ends of runners.
test("a daemon that starts later refuses it from its peers' word", async (t) => {
  const fleet = await CrashingFleet.start(t, SHAPE);
  await endRunners(fleet);
  const router = await fleet.linked.add();
  const send = () => sendRequest(router, { method: "POST", body: CRASHING });
  const before = fleet.countArrivals(CRASHING);
  await waitUntil(() =>
    router.crashes.snapshot(router.now()).crashed.length > 0
  );
  assert.equal((await send()).status, 503);
  assert.equal(fleet.countArrivals(CRASHING), before);
});
