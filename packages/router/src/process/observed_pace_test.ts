import assert from "node:assert/strict";
import { test } from "node:test";
import { PacedRunners } from "../../tests/paced_runners.ts";
import { ObservedPace } from "./observed_pace.ts";

/** Time within which estimates must follow, in ms. */
const FOLLOW_MS = 4_000;
const USUAL = { a: 1, b: 1, c: 1 };

function assertNear(actual: number, expected: number, factor: number): void {
  const near = actual < expected * factor && actual > expected / factor;
  assert.ok(near, `${actual} instead of ${expected}`);
}

test("the assumed pace holds until something is observed", () => {
  const pace = new ObservedPace();
  assertNear(pace.prefillMs("a", 5_000, 0), 100, 1.001);
  assertNear(pace.chunkStepMs("a", 0), 40, 1.001);
  assertNear(pace.chunkStepMs(undefined, 0), 40, 1.001);
  assert.equal(pace.responseMs("a", 0), undefined);
});

// Guards against admission that holds work back from engines that can take three
// times as much, or that fills slow ones beyond what they finish in time.
for (const speed of [50 / 3, 150]) {
  test(`a daemon that sees five prompts a second follows engines of ${Math.round(speed)} tokens per ms`, () => {
    const pace = new ObservedPace();
    new PacedRunners(pace, { speed, factors: USUAL }).run(0, FOLLOW_MS);
    assertNear(pace.prefillMs("a", 10_000, FOLLOW_MS), 10_000 / speed, 1.3);
    assertNear(pace.chunkStepMs("a", FOLLOW_MS), 5 + 2_048 / speed, 1.4);
  });
}

test("one of three engines is known to be slow, and forgotten when it restarts", () => {
  const pace = new ObservedPace();
  const factors = { a: 0.7, b: 0.7, c: 1.7 };
  new PacedRunners(pace, { speed: 38, factors }).run(0, FOLLOW_MS);
  const ratio = (runner: string) =>
    pace.prefillMs(runner, 1_000, FOLLOW_MS) /
    pace.prefillMs("a", 1_000, FOLLOW_MS);
  assertNear(ratio("c"), 1.7 / 0.7, 1.3);
  assertNear(ratio("b"), 1, 1.2);
  pace.retain(new Set(["a", "b"]));
  const mean = pace.chunkStepMs(undefined, FOLLOW_MS);
  assert.equal(pace.chunkStepMs("c", FOLLOW_MS), mean);
});

// Guards against estimates that one delayed event decides: it waited for prompts
// that were not known here, or this daemon was paused.
test("one outlier changes no estimate by more than a factor of two", () => {
  for (const settledMs of [0, FOLLOW_MS]) {
    const pace = new ObservedPace();
    const runners = new PacedRunners(pace, { speed: 38, factors: USUAL });
    runners.run(0, settledMs);
    const before = pace.prefillMs("a", 1_000, settledMs);
    const stepBefore = pace.chunkStepMs("a", settledMs);
    const now = settledMs + 1;
    pace.recordFirstEvent("a", { ms: 60_000, tokens: 2_000, now });
    for (let stream = 0; stream < 50; stream += 1) {
      const gap = { ms: 9_000, tokens: 4, requests: 8, now };
      pace.recordGap("a", { ...gap, unreadBefore: 9_000, unreadAfter: 9_000 });
    }
    // Estimates are kept for 50 ms.
    const later = now + 50;
    assert.ok(pace.prefillMs("a", 1_000, later) < 2 * before);
    assert.ok(pace.chunkStepMs("a", later) < 2.2 * stepBefore);
    assert.notEqual(pace.prefillMs("a", 1_000, later), before);
  }
});

// Guards against urgent requests that are sent to an engine while its host is
// 2.5 times slower, for 600 ms.
test("a stated figure applies at once and for half a second", () => {
  const pace = new ObservedPace();
  const runners = new PacedRunners(pace, { speed: 38, factors: USUAL });
  for (let now = 0; now < FOLLOW_MS; now += 200) {
    for (const runner of ["a", "b", "c"]) pace.recordStated(runner, 1, now);
    runners.run(now, now + 200);
  }
  const usual = pace.prefillMs("a", 1_000, FOLLOW_MS);
  pace.recordStated("a", 2.5, FOLLOW_MS);
  assertNear(pace.prefillMs("a", 1_000, FOLLOW_MS), 2.5 * usual, 1.15);
  assertNear(pace.prefillMs("a", 1_000, FOLLOW_MS + 250), 1.6 * usual, 1.15);
  assertNear(pace.prefillMs("a", 1_000, FOLLOW_MS + 500), usual, 1.1);
});

// Guards against figures that a runner makes up: a constant one that its work
// does not show, and ones that change without any effect.
test("figures that observations refute lose their effect", () => {
  const pace = new ObservedPace();
  const runners = new PacedRunners(pace, { speed: 38, factors: USUAL });
  let now = 0;
  for (; now < 2 * FOLLOW_MS; now += 200) {
    pace.recordStated("a", now % 400 === 0 ? 0.2 : 4, now);
    pace.recordStated("b", 4, now);
    pace.recordStated("c", 1, now);
    runners.run(now, now + 200);
  }
  const usual = pace.prefillMs("c", 1_000, now);
  pace.recordStated("a", 4, now);
  pace.recordStated("b", 4, now);
  assertNear(pace.prefillMs("a", 1_000, now), usual, 1.4);
  assertNear(pace.prefillMs("b", 1_000, now), usual, 1.4);
  pace.recordStated("a", 0.2, now + 1);
  assertNear(pace.prefillMs("a", 1_000, now + 1), usual, 1.4);
});

test("the work of plain runners is learned from responses that did not wait", () => {
  const pace = new ObservedPace();
  const work = { a: 60, b: 60, c: 146 };
  const respond = (runner: "a" | "b" | "c", options: {
    readonly ahead: number;
    readonly waitMs: number;
    readonly now: number;
  }) =>
    pace.recordResponse(runner, {
      ms: work[runner] + options.waitMs,
      ahead: options.ahead,
      slots: 6,
      now: options.now,
    });
  // The first response of all is delayed by seconds.
  respond("a", { ahead: 0, waitMs: 9_000, now: 0 });
  for (let now = 0; now < FOLLOW_MS; now += 50) {
    const runner = (["a", "b", "c"] as const)[(now / 50) % 3]!;
    const waits = now % 200 === 0;
    const wait = waits ? { ahead: 9, waitMs: 400 } : { ahead: 2, waitMs: 0 };
    respond(runner, { ...wait, now });
  }
  assertNear(pace.responseMs("a", FOLLOW_MS)!, work.a, 1.25);
  assertNear(pace.responseMs("c", FOLLOW_MS)!, work.c, 1.25);
  // All slots are taken for long, and a runner becomes three times as fast.
  for (let now = FOLLOW_MS; now < 16 * FOLLOW_MS; now += 25) {
    respond("c", { ahead: 7, waitMs: 16 - work.c * 2 / 3, now });
  }
  assertNear(pace.responseMs("c", 16 * FOLLOW_MS)!, work.c / 3, 1.25);
});

// Guards against pools that are decided by the mean where 15 in 100 moments take
// 2.5 times as long, and by figures that a runner makes up.
test("slow moments are known from stated figures that observations confirm", () => {
  const spread = (stated: readonly number[], isTrue: boolean) => {
    const pace = new ObservedPace();
    const factors = { a: 1 };
    const runners = new PacedRunners(pace, { speed: 38, factors });
    for (let now = 0; now < 5 * FOLLOW_MS; now += 200) {
      const figure = stated[(now / 200) % stated.length]!;
      if (isTrue) factors.a = figure;
      pace.recordStated("a", figure, now);
      pace.recordSpread("a", figure, now);
      runners.run(now, now + 200);
    }
    return pace.slowMomentFactor(5 * FOLLOW_MS);
  };
  const moments = [1, 1, 1, 2.5, 1, 1, 1];
  assert.equal(spread([1], true), 1);
  assertNear(spread(moments, true), 2, 1.25);
  assert.equal(spread(moments, false), 1);
});
