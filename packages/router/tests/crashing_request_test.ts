import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { CRASHING, CrashingFleet } from "./crashing_fleet.ts";
import { call } from "./fixtures.ts";
import type { CallerAnswer } from "./fixtures.ts";

/** Milliseconds in which daemons that are in touch know what one of them does. */
const CONTACT_MS = 3_000;
/** Ends of runners after which a request is known for them. */
const ENDS = 3;
/** Sends of it that are allowed after that. */
const ALLOWED = 3;
const TRIES = 20;

interface Sender {
  /** Sends a request with a body to the next router. */
  (body: string): Promise<CallerAnswer>;
}

/** A caller that goes to each router in turn; each try has an id of its own. */
function callerOf({ routers }: CrashingFleet): Sender {
  let tries = 0;
  return (body) => {
    const router = routers[tries % routers.length]!;
    tries += 1;
    return call(router, {
      method: "POST",
      body,
      headers: { "x-id": `try-${tries}` },
    });
  };
}

// Guards against a request that is known to end its runners being sent to more.
test("a request that ended three runners is sent to no more than three others", async (t) => {
  const fleet = await CrashingFleet.start(t, { routers: 7, runners: 12 });
  const send = callerOf(fleet);
  while (fleet.ends < ENDS) await send(CRASHING);
  await pause(CONTACT_MS);
  const before = fleet.arrived(CRASHING);
  for (let tries = 0; tries < TRIES; tries++) await send(CRASHING);
  const arrived = fleet.arrived(CRASHING) - before;
  assert.ok(arrived <= ALLOWED, `sent ${arrived} times more`);
});
