import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type { ClaimSettings } from "../src/process/claim_settings.ts";
import { FakeClock } from "../src/testing/mod.ts";
import { ClaimFleet, expectClaim, tryClaim } from "./claims_fixture.ts";

const TIMEOUT_MS = 20_000;
const WINDOW_MS = 60_000;
/**
 * The window with its margin for drift, two claim time-outs, and the start
 * bound.
 */
const RETENTION_MS = WINDOW_MS * 1.01 + 2 * TIMEOUT_MS + 1_000;

function settings(fields: Partial<ClaimSettings["limits"]> = {}) {
  return {
    timeoutMs: TIMEOUT_MS,
    startWithinMs: 1_000,
    windowMs: WINDOW_MS,
    limits: {
      sealBytes: 400,
      answerBytes: 65_536,
      maxSegments: 2_048,
      ...fields,
    },
  };
}

async function fleetWithKeys(t: TestContext, count: number) {
  const fleet = new ClaimFleet(t, ["a"]);
  const clock = new FakeClock();
  const a = await fleet.startDaemon("a", { clock, settings: settings() });
  for (let index = 0; index < count; index += 1) {
    const outcome = await tryClaim(a, `key ${index}`);
    assert.equal(outcome._tag, "Claimed");
  }
  return { fleet, clock, a };
}

function segments(fleet: ClaimFleet) {
  return Effect.runPromise(fleet.store.list("claims-0"));
}

test("a process that starts later finds claims in sealed segments", async (t) => {
  const { fleet } = await fleetWithKeys(t, 60);
  assert.ok((await segments(fleet)).items.length > 4);
  const later = await fleet.startDaemon("a", { settings: settings() });
  for (let index = 0; index < 60; index += 1) {
    assert.equal((await tryClaim(later, `key ${index}`))._tag, "Taken");
  }
});

test("claims expire, and their objects are deleted", async (t) => {
  const { fleet, clock, a } = await fleetWithKeys(t, 60);
  clock.advance(RETENTION_MS);
  assert.equal((await tryClaim(a, "new"))._tag, "Claimed");
  assert.equal((await tryClaim(a, "key 0"))._tag, "Claimed");
  assert.ok((await segments(fleet)).items.length <= 1);
});

test("no claim expires within the window", async (t) => {
  const { clock, a } = await fleetWithKeys(t, 60);
  clock.advance(WINDOW_MS + TIMEOUT_MS);
  assert.equal((await tryClaim(a, "new"))._tag, "Claimed");
  assert.equal((await tryClaim(a, "key 0"))._tag, "Taken");
});

test("a process with a clock far ahead does not expire others' claims", async (t) => {
  // A daemon's wall clock is a year ahead. If ages were computed from
  // wall-clock time, it would drop a live claim, and a late retry would run the
  // request again.
  const { fleet } = await fleetWithKeys(t, 60);
  const year = 365 * 24 * 3_600_000;
  const skewed = await fleet.startDaemon("a", {
    clock: new FakeClock({ at: year, skew: year }),
    settings: settings(),
  });
  assert.equal((await tryClaim(skewed, "new"))._tag, "Claimed");
  assert.equal((await tryClaim(skewed, "key 0"))._tag, "Taken");
});

test("a full partition refuses new keys and keeps live claims", async (t) => {
  const fleet = new ClaimFleet(t, ["a"]);
  const clock = new FakeClock();
  const a = await fleet.startDaemon("a", {
    clock,
    settings: settings({ maxSegments: 2 }),
  });
  const outcomes = [];
  for (let index = 0; index < 40; index += 1) {
    outcomes.push((await tryClaim(a, `key ${index}`))._tag);
  }
  assert.equal(outcomes[0], "Claimed");
  assert.equal(outcomes[39], "ClaimUnavailable");
  assert.equal((await tryClaim(a, "key 0"))._tag, "Taken");
  clock.advance(RETENTION_MS);
  assert.equal((await tryClaim(a, "key 39"))._tag, "Claimed");
});

test("a partition that fills up keeps claims but no more answers", async (t) => {
  const fleet = new ClaimFleet(t, ["a"]);
  const a = await fleet.startDaemon("a", {
    settings: settings({ maxSegments: 8 }),
  });
  const answer = { status: 200, headers: [], body: new Uint8Array(10) };
  const answered: string[] = [];
  for (let index = 0; index < 30; index += 1) {
    const key = `key ${index}`;
    const claim = expectClaim(await tryClaim(a, key));
    await Effect.runPromise(claim.settle({ _tag: "Answered", answer }));
    await Effect.runPromise(a.drain());
    const second = await tryClaim(a, key);
    answered.push(second._tag);
    if (second._tag === "Taken") break;
  }
  assert.equal(answered[0], "Answered");
  assert.equal(answered.at(-1), "Taken");
});

test("a crash between sealing and writing the head loses no claim", async (t) => {
  // The process seals the head's records in a segment and crashes before the
  // head refers to it. The head still holds the records; the orphaned segment
  // must neither count nor prevent the next process from sealing.
  const fleet = new ClaimFleet(t, ["a"]);
  const stopped = Deferred.makeUnsafe<"stopped">();
  const first = await fleet.startDaemon("a", {
    settings: settings(),
    crashPoints: {
      reached: (point) => {
        if (point !== "claim.after_seal") return Effect.void;
        Deferred.doneUnsafe(stopped, Effect.succeed("stopped" as const));
        return Effect.never;
      },
    },
  });
  const crash = Effect.runPromise(Deferred.await(stopped));
  const keys: string[] = [];
  while (true) {
    const key = `key ${keys.length}`;
    const outcome = await Promise.race([tryClaim(first, key), crash]);
    if (outcome === "stopped") break;
    keys.push(key);
  }
  assert.equal((await segments(fleet)).items.length, 1);
  const next = await fleet.startDaemon("a", { settings: settings() });
  assert.equal((await tryClaim(next, "new"))._tag, "Claimed");
  for (const key of keys) {
    assert.equal((await tryClaim(next, key))._tag, "Taken");
  }
});

test("objects stay far below the store's size limit at any rate of claims", async (t) => {
  const fleet = new ClaimFleet(t, ["a"]);
  const a = await fleet.startDaemon("a", { settings: { timeoutMs: 60_000 } });
  const keys = Array.from({ length: 5_000 }, (_, index) => `key ${index}`);
  const outcomes = await Promise.all(keys.map((key) => tryClaim(a, key)));
  assert.ok(outcomes.every(({ _tag }) => _tag === "Claimed"));
  const written = fleet.store.calls.filter(({ operation }) =>
    operation === "write"
  );
  const sizes = written.map(({ value }) => JSON.stringify(value).length);
  assert.ok(Math.max(...sizes) < 250_000, `${Math.max(...sizes)} bytes`);
});
