import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { Lease } from "../src/process/lease.ts";
import type { LeaseOptions, Tenure } from "../src/process/lease.ts";
import { LeaseObject } from "../src/process/lease_object.ts";
import type { LeaseTerm } from "../src/process/lease_object.ts";
import { NO_CRASH_POINTS } from "../src/process/crash_points.ts";
import { FakeClock, MemoryStore } from "../src/testing/mod.ts";
import type { FaultPlan, StoreFault } from "../src/testing/mod.ts";

const DURATION_MS = 1_000;

function lease(store: MemoryStore, options: Partial<LeaseOptions> = {}) {
  return new Lease({
    store,
    name: "service",
    holder: "a",
    durationMs: DURATION_MS,
    ...options,
  });
}

function leaseObject(
  store: MemoryStore,
  options: {
    readonly holderId: string;
    readonly clock: FakeClock;
    readonly plan?: FaultPlan;
  },
) {
  const { holderId, clock, plan = () => "none" } = options;
  return new LeaseObject({
    store: store.withPlan(plan),
    clock,
    crashPoints: NO_CRASH_POINTS,
    name: "service",
    holder: holderId,
    holderId,
    durationMs: DURATION_MS,
  });
}

function tryAcquire(object: LeaseObject): Promise<LeaseTerm | undefined> {
  return Effect.runPromise(object.tryAcquire());
}

/** Holds the lease until the test ends; resolves once it is held. */
function holdUntilTestEnd(t: TestContext, held: Lease): Promise<Tenure> {
  const tenure = Deferred.makeUnsafe<Tenure>();
  const fiber = Effect.runFork(held.hold((acquired) => {
    Deferred.doneUnsafe(tenure, Effect.succeed(acquired));
    return Effect.never;
  }));
  t.after(() => Effect.runPromise(Fiber.interrupt(fiber)));
  return Effect.runPromise(Deferred.await(tenure));
}

function failWrites(faults: StoreFault[]): FaultPlan {
  return ({ operation }) =>
    operation === "write" ? faults.shift() ?? "none" : "none";
}

test("each term has a higher fencing token than all earlier ones", async (t) => {
  const store = new MemoryStore();
  const tokens: number[] = [];
  for (let term = 0; term < 4; term += 1) {
    const held = lease(store);
    await Effect.runPromise(held.hold((tenure) =>
      Effect.sync(() => {
        tokens.push(tenure.fencing);
      })
    ));
  }
  const last = await holdUntilTestEnd(t, lease(store));
  const allTokens = [...tokens, last.fencing];
  assert.deepEqual(allTokens, allTokens.toSorted((a, b) => a - b));
  assert.equal(new Set(allTokens).size, 5);
});

test("a released lease can be acquired at once", async () => {
  const store = new MemoryStore();
  const clock = new FakeClock();
  const a = leaseObject(store, { holderId: "a", clock });
  const b = leaseObject(store, { holderId: "b", clock });
  const term = await tryAcquire(a);
  assert.ok(term);
  assert.equal(await tryAcquire(b), undefined);
  await Effect.runPromise(a.release(term));
  assert.ok(await tryAcquire(b));
});

test("a lease that is not renewed is acquired only after observing it for its duration", async () => {
  const store = new MemoryStore();
  const clock = new FakeClock();
  const a = leaseObject(store, { holderId: "a", clock });
  // Its wall clock is far off: only the time for which it observed counts.
  const otherClock = new FakeClock({ at: 1e12, skew: 1e12 });
  const b = leaseObject(store, { holderId: "b", clock: otherClock });
  const term = await tryAcquire(a);
  assert.equal(await tryAcquire(b), undefined);
  otherClock.advance(DURATION_MS - 1);
  assert.equal(await tryAcquire(b), undefined);
  otherClock.advance(1);
  const next = await tryAcquire(b);
  assert.ok(term && next && next.fencing > term.fencing);
});

test("a renewal restarts the observation", async () => {
  const store = new MemoryStore();
  const clock = new FakeClock();
  const a = leaseObject(store, { holderId: "a", clock });
  const b = leaseObject(store, { holderId: "b", clock });
  const term = await tryAcquire(a);
  assert.ok(term);
  assert.equal(await tryAcquire(b), undefined);
  clock.advance(DURATION_MS - 1);
  assert.equal(await Effect.runPromise(a.renew(term)), false);
  clock.advance(DURATION_MS - 1);
  assert.equal(await tryAcquire(b), undefined);
});

test("only one of several processes that find the lease free acquires it", async () => {
  const store = new MemoryStore();
  const clock = new FakeClock();
  const objects = ["a", "b", "c"].map((holderId) =>
    leaseObject(store, { holderId, clock })
  );
  const terms = await Promise.all(objects.map(tryAcquire));
  assert.equal(terms.filter((term) => term !== undefined).length, 1);
});

test("an acquisition whose reply was lost is recognized by the holder's id", async () => {
  const store = new MemoryStore();
  const clock = new FakeClock();
  const a = leaseObject(store, {
    holderId: "a",
    clock,
    plan: failWrites(["lose-reply"]),
  });
  assert.ok(await tryAcquire(a));
});

test("a renewal that is confirmed late counts from its write", async () => {
  // A renewal takes effect, its reply is lost, and the store can't be read
  // back. The next attempt conflicts with it. If the renewal counted from that
  // later attempt, the holder would still act while another process, which
  // counts from the write, takes over.
  const store = new MemoryStore();
  const clock = new FakeClock();
  const faults: StoreFault[] = ["none", "lose-reply"];
  let readsFail = false;
  const a = leaseObject(store, {
    holderId: "a",
    clock,
    plan: (call) => {
      if (call.operation === "read" && readsFail) return "refuse";
      return failWrites(faults)(call);
    },
  });
  const term = await tryAcquire(a);
  assert.ok(term);
  clock.advance(100);
  readsFail = true;
  assert.equal(await Effect.runPromise(a.renew(term)), false);
  assert.equal(term.renewedAt.monotonic, 0);
  readsFail = false;
  clock.advance(500);
  assert.equal(await Effect.runPromise(a.renew(term)), false);
  assert.equal(term.renewedAt.monotonic, 0);
  assert.equal(await Effect.runPromise(a.renew(term)), false);
  assert.equal(term.renewedAt.monotonic, 600);
});

test("a holder paused until after its lease expired may not act when it resumes", async (t) => {
  // While the holder is paused, its lease expires and another process acquires
  // it. When the holder resumes, none of its timers has run yet, so the first
  // check of the remaining time must show that the lease has expired.
  const store = new MemoryStore();
  const clock = new FakeClock();
  const tenure = await holdUntilTestEnd(t, lease(store, { clock }));
  assert.equal(tenure.remainingMs(), DURATION_MS * 0.8);
  clock.advance(DURATION_MS);
  assert.ok(tenure.remainingMs() <= 0);
});

test("a holder on a suspended host may not act when it resumes", async (t) => {
  // The monotonic clock stops while the whole host is suspended. Only the wall
  // clock, which the host corrects, shows that the lease has expired.
  const store = new MemoryStore();
  let wallTime = 0;
  const clock = { monotonic: () => 0, now: () => wallTime };
  const tenure = await holdUntilTestEnd(t, lease(store, { clock }));
  assert.ok(tenure.remainingMs() > 0);
  wallTime = DURATION_MS;
  assert.ok(tenure.remainingMs() <= 0);
});

test("a holder stops before another may start, whenever it last renewed", async () => {
  const store = new MemoryStore();
  const clock = new FakeClock();
  const a = leaseObject(store, { holderId: "a", clock });
  const b = leaseObject(store, { holderId: "b", clock });
  const term = await tryAcquire(a);
  assert.ok(term);
  for (const pauseMs of [0, 300, 799]) {
    clock.advance(pauseMs);
    await Effect.runPromise(a.renew(term));
    assert.equal(await tryAcquire(b), undefined);
  }
  const endsAt = term.renewedAt.monotonic + DURATION_MS * 0.8;
  clock.advance(DURATION_MS - 1);
  assert.equal(await tryAcquire(b), undefined);
  clock.advance(1);
  assert.ok(await tryAcquire(b));
  assert.ok(endsAt < clock.monotonic());
  assert.equal(await Effect.runPromise(a.renew(term)), true);
  assert.equal(term.ended, true);
});

test("the work is interrupted when the store is unreachable until the lease expires", async () => {
  const store = new MemoryStore();
  const held = lease(store, { durationMs: 100 });
  let down = false;
  store.plan = () => down ? "refuse" : "none";
  let interrupted = false;
  await Effect.runPromise(held.hold(() => {
    down = true;
    return Effect.onInterrupt(
      Effect.never,
      () => Effect.sync(() => void (interrupted = true)),
    );
  }));
  assert.equal(interrupted, true);
});

test("a process that is not wanted does not acquire the lease", async () => {
  const store = new MemoryStore();
  let wanted = false;
  const wantedCalled = Deferred.makeUnsafe<void>();
  const held = lease(store, {
    durationMs: 50,
    wanted: () => {
      Deferred.doneUnsafe(wantedCalled, Effect.void);
      return wanted;
    },
  });
  const done = Effect.runPromise(held.hold(() => Effect.void));
  await Effect.runPromise(Deferred.await(wantedCalled));
  assert.equal(store.calls.length, 0);
  wanted = true;
  await done;
  assert.notEqual(store.calls.length, 0);
});
