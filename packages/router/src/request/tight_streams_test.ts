import assert from "node:assert/strict";
import { test } from "node:test";
import { noRestrictions, testEngine } from "../../tests/fixtures.ts";
import { PacedRunners } from "../../tests/paced_runners.ts";
import { ObservedPace } from "../process/observed_pace.ts";
import { PrefixIndex } from "../process/prefix_index.ts";
import { RunnerLoads } from "../process/runner_loads.ts";
import { ASSUMED_PACE } from "../process/runner_pace.ts";
import type { RunnerPace } from "../process/runner_pace.ts";
import { ServiceDemand } from "../process/service_demand.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import { chooseRunner, hasCapacity } from "./placement.ts";
import { silenceFactor } from "./silence.ts";
import { fleetPools } from "./tight_streams.ts";

const ENGINE = {
  slots: 64,
  memoryTokens: 540_216,
  eventTokens: 4,
  fetchMsPerToken: undefined,
};
/** Time within which choices must follow the pace of runners, in ms. */
const FOLLOW_MS = 4_000;
const NONE: ReadonlySet<string> = new Set();

function fleetOf(
  ids: readonly string[],
  pace: RunnerPace,
  shortestGapMs?: number,
): RunnerFleet {
  return {
    runners: ids.map(testEngine),
    loads: new RunnerLoads(),
    restrictions: noRestrictions(),
    pace,
    prefixes: new PrefixIndex(),
    shortestGapMs,
    failureDomain: "d",
    now: FOLLOW_MS,
  };
}

function urgentStream(topic: string, fields: Partial<Demand> = {}): Demand {
  return {
    prompt: [{ id: topic, tokens: 350 }, { id: `${topic}-own`, tokens: 1_110 }],
    promptTokens: 1_460,
    maxOutputTokens: 200,
    expectedOutputTokens: undefined,
    timeoutMs: 15_000,
    targetMs: 511,
    gapTargetMs: 300,
    queueKey: { rank: 0, arrivedAt: 0, startBy: Infinity },
    awaitedRunner: undefined,
    lessUrgentRanks: 2,
    engine: ENGINE,
    ...fields,
  };
}

function longPrompt(topic: string): Demand {
  return urgentStream(topic, {
    prompt: [{ id: topic, tokens: 13_300 }, { id: "own", tokens: 3_720 }],
    promptTokens: 17_020,
    gapTargetMs: 1_200,
    targetMs: 2_527,
    lessUrgentRanks: 0,
    queueKey: { rank: 2, arrivedAt: 0, startBy: Infinity },
  });
}

function chosen(fleet: RunnerFleet, demands: readonly Demand[]): Set<string> {
  return new Set(
    demands.map((demand) => chooseRunner(fleet, demand, NONE)!.runner.id),
  );
}

/** Places a demand, which stays in flight; "none" without capacity. */
function placed(fleet: RunnerFleet, demand: Demand): string {
  const choice = chooseRunner(fleet, demand, NONE)!;
  if (choice.overloaded) return "none";
  fleet.loads.of(choice.runner.id).place({
    unreadTokens: choice.prefillTokens,
    memoryTokens: 0,
    tight: choice.tight,
  }, fleet.now);
  return choice.runner.id;
}

const TOPICS = Array.from({ length: 40 }, (_, index) => `t-${index}`);

function observed(
  factors: Readonly<Record<string, number>>,
  speed: number,
): ObservedPace {
  const pace = new ObservedPace();
  new PacedRunners(pace, { speed, factors }).run(0, FOLLOW_MS);
  return pace;
}

// Guards against urgent streams on an engine that takes 1.7 times as long: an
// event takes 330 ms there, and the pause is 300.
test("urgent streams avoid an engine on which their events would be late", () => {
  const factors = { a: 0.7, b: 0.7, c: 1.7 };
  const pace = observed(factors, 38);
  const fleet = fleetOf(Object.keys(factors), pace, 300);
  const urgent = chosen(fleet, TOPICS.map((topic) => urgentStream(topic)));
  assert.deepEqual([...urgent].sort(), ["a", "b"]);
  const long = TOPICS.map((topic) => placed(fleet, longPrompt(topic)));
  assert.ok(long.includes("c"), "the slow engine takes long prompts");
  const last = chooseRunner(fleet, urgentStream("t"), new Set(["a", "b"]));
  assert.equal(last!.runner.id, "c");
});

// Guards against an urgent stream that is sent to an engine in the 600 ms in
// which its host is 2.5 times slower, and against one that is avoided after.
test("choices follow a stated figure at once and forget it in half a second", () => {
  const factors = { a: 1, b: 1, c: 1 };
  const pace = observed(factors, 38);
  const demands = TOPICS.map((topic) =>
    urgentStream(topic, { gapTargetMs: 400 })
  );
  for (let now = 0; now < FOLLOW_MS; now += 500) {
    for (const id of ["a", "b", "c"]) pace.recordStated(id, 1, now);
  }
  pace.recordStated("a", 2.5, FOLLOW_MS);
  const fleet = fleetOf(Object.keys(factors), pace, 400);
  assert.equal(chosen(fleet, demands).has("a"), false);
  const later = { ...fleet, now: FOLLOW_MS + 500 };
  assert.equal(chosen(later, demands).has("a"), true);
});

// Guards against a reserve that holds back 30 of 100 engines where prompts delay
// no stream beyond its pause.
test("runners are reserved for tight streams only where prompts delay them", () => {
  const ids = Array.from({ length: 10 }, (_, index) => `r-${index}`);
  const factors = Object.fromEntries(ids.map((id) => [id, 1]));
  const reserved = (pace: RunnerPace, gapMs: number | undefined) =>
    fleetPools(fleetOf(ids, pace, gapMs), urgentStream("t")).reserved.size;
  assert.equal(reserved(ASSUMED_PACE, undefined), 3);
  assert.equal(reserved(observed(factors, 150), 120), 0);
  assert.equal(reserved(observed(factors, 20), 300), 3);
  const fast = fleetOf(ids, observed(factors, 150), 120);
  const all = chosen(fast, TOPICS.map(longPrompt));
  assert.ok(all.size > 7, `${all.size} runners take long prompts`);
});

// Guards against the start of a burst in which urgent streams run beside long
// prompts because steps with a chunk are assumed to be short.
test("before steps are observed, streams with the shortest pause are tight", () => {
  const ids = Array.from({ length: 10 }, (_, index) => `r-${index}`);
  const unknown = fleetOf(ids, new ObservedPace(), 300);
  const { reserved } = fleetPools(unknown, urgentStream("t"));
  assert.equal(reserved.size, 3);
  const urgent = TOPICS.map((topic) =>
    chooseRunner(unknown, urgentStream(topic), NONE)!
  );
  assert.ok(urgent.every(({ tight }) => tight));
  assert.deepEqual(new Set(urgent.map(({ runner }) => runner.name)), reserved);
  const other = urgentStream("t", { gapTargetMs: 500 });
  assert.equal(chooseRunner(unknown, other, NONE)!.tight, false);
  const none = fleetOf(ids, new ObservedPace(), Infinity);
  assert.equal(fleetPools(none, urgentStream("t")).reserved.size, 0);
});

// Guards against reserved engines that long prompts fill while no urgent stream is
// there: the next one has events of 360 ms.
test("a reserved engine accepts only prompts beside which events keep the pause", () => {
  const ids = Array.from({ length: 10 }, (_, index) => `r-${index}`);
  const factors = Object.fromEntries(ids.map((id) => [id, 1]));
  const pace = observed(factors, 20);
  const fleet = { ...fleetOf(ids, pace, 300), demand: new ServiceDemand() };
  const [reserved] = fleetPools(fleet, urgentStream("t")).reserved;
  const accepts = (demand: Demand) =>
    hasCapacity(fleet, demand, testEngine(reserved!));
  const prompt = (tokens: number) =>
    urgentStream("p", {
      prompt: [{ id: "p", tokens: 100 }, { id: "own", tokens: tokens - 100 }],
      promptTokens: tokens,
      gapTargetMs: 1_200,
    });
  assert.equal(accepts(prompt(1_000)), true);
  assert.equal(accepts(prompt(6_000)), false);
  assert.equal(accepts(urgentStream("t")), true);
  fleet.loads.of(reserved!).place(
    { unreadTokens: 6_000, memoryTokens: 0, tight: false },
    fleet.now,
  );
  assert.equal(accepts(prompt(1_000)), false);
  assert.equal(accepts(urgentStream("t")), true);
});

// Guards against long prompts that fill an engine as soon as it is reserved no
// longer, beside the streams that began there before.
test("an engine stays guarded until its tight streams have ended", () => {
  const ids = Array.from({ length: 20 }, (_, index) => `r-${index}`);
  const factors = Object.fromEntries(ids.map((id) => [id, 1]));
  const pace = observed(factors, 20);
  const fleet = { ...fleetOf(ids, pace, 300), demand: new ServiceDemand() };
  const poolsAt = (now: number) =>
    fleetPools({ ...fleet, now }, urgentStream("t"));
  const first = [...poolsAt(FOLLOW_MS).reserved];
  const placed = { unreadTokens: 0, memoryTokens: 0, tight: true };
  for (const id of first) fleet.loads.of(id).place(placed, FOLLOW_MS);
  let now = FOLLOW_MS;
  while (now < 5 * FOLLOW_MS) poolsAt(now += 1_000);
  const left = first.filter((id) => !poolsAt(now).reserved.has(id));
  assert.ok(left.length > 0 && left.length < first.length);
  assert.ok(left.every((id) => poolsAt(now).guarded.has(id)));
  for (const id of first) fleet.loads.of(id).release(placed);
  assert.ok(left.every((id) => !poolsAt(now + 1_000).guarded.has(id)));
});

// Guards against costs and bounds that stand for the assumed pace: engines that
// are all three times as fast must get the same choices for the same load.
test("choices among equal engines do not depend on their speed", () => {
  const ids = Array.from({ length: 8 }, (_, index) => `r-${index}`);
  const place = (pace: RunnerPace) => {
    const fleet = fleetOf(ids, pace);
    return TOPICS.flatMap((topic) => [longPrompt(topic), urgentStream(topic)])
      .map((demand) => placed(fleet, demand));
  };
  const scaled = (factor: number): RunnerPace => ({
    engineSpeed: () => ({
      prefillMs: (tokens) => factor * ASSUMED_PACE.prefillMs("", tokens, 0),
      chunkStepMs: factor * ASSUMED_PACE.chunkStepMs(undefined, 0),
    }),
    prefillMs: (_, tokens) => factor * ASSUMED_PACE.prefillMs("", tokens, 0),
    chunkStepMs: () => factor * ASSUMED_PACE.chunkStepMs(undefined, 0),
    responseMs: () => undefined,
  });
  const started = (factor: number) =>
    place(scaled(factor)).filter((id) => id !== "none").length;
  assert.ok(started(1 / 3) > 1.3 * started(1), "fast engines take more");
  assert.ok(started(3) < started(1), "slow engines take less");
  const first = (factor: number) => place(scaled(factor)).slice(0, 8);
  assert.deepEqual(first(1 / 3), first(1));
});

test("a slow engine may be silent for longer, any other one not", () => {
  const factors = { a: 0.7, b: 0.7, c: 1.7 };
  const pace = observed(factors, 38);
  const factor = (id: string) =>
    silenceFactor({ pace, now: FOLLOW_MS }, { engine: ENGINE }, id);
  assert.equal(factor("a"), 1);
  assert.ok(factor("c") > 1.3 && factor("c") <= 3, `${factor("c")}`);
  const assumed = { pace: ASSUMED_PACE, now: 0 };
  const engine = { ...ENGINE, eventTokens: 9 };
  assert.equal(silenceFactor(assumed, { engine }, "a"), 1);
  assert.equal(silenceFactor(assumed, { engine: undefined }, "a"), 1);
});

// Guards against plain requests that are divided evenly although one of three
// runners takes 2.4 times as long.
test("plain requests go to the runner that is done first", () => {
  const pace = new ObservedPace();
  const work: Readonly<Record<string, number>> = { a: 60, b: 60, c: 146 };
  for (let now = 0; now < FOLLOW_MS; now += 50) {
    const runner = ["a", "b", "c"][(now / 50) % 3]!;
    const ms = work[runner]!;
    pace.recordResponse(runner, { ms, ahead: 0, slots: 6, now });
  }
  const fleet = fleetOf(["a", "b", "c"], pace);
  const demand = urgentStream("t", { engine: undefined });
  const placed = { unreadTokens: 0, memoryTokens: 0, tight: false };
  for (let count = 0; count < 11; count += 1) {
    const { runner } = chooseRunner(fleet, demand, NONE)!;
    fleet.loads.of(runner.id).place(placed, fleet.now);
  }
  const counts = ["a", "b", "c"].map((id) => fleet.loads.of(id).own.inFlight);
  assert.ok(counts[2]! <= 2, counts.join(", "));
});

// Guards against plain requests that wait in a failure domain whose traffic has
// doubled while slots of another one are idle, and against needless transfers.
test("work goes to another failure domain when the wait costs more than the way", () => {
  const pace = new ObservedPace();
  for (let now = 0; now < FOLLOW_MS; now += 50) {
    const runner = ["a", "b"][(now / 50) % 2]!;
    pace.recordResponse(runner, { ms: 86, ahead: 0, slots: 6, now });
  }
  const base = fleetOf(["a", "b"], pace);
  const [near, far] = base.runners;
  const runners = [near!, { ...far!, failureDomain: "e" }];
  const fleet = {
    ...base,
    runners: runners.map((one) => ({ ...one, slots: 6 })),
  };
  const demand = urgentStream("t", { engine: undefined, promptTokens: 0 });
  const placed = { unreadTokens: 0, memoryTokens: 0, tight: false };
  const ids = Array.from({ length: 6 }, () => {
    const { runner } = chooseRunner(fleet, demand, NONE)!;
    fleet.loads.of(runner.id).place(placed, fleet.now);
    return runner.id;
  });
  assert.deepEqual(ids, ["a", "b", "a", "b", "a", "b"]);
  const large = { ...demand, promptTokens: 500_000 };
  fleet.loads.of("a").place(placed, fleet.now);
  assert.equal(chooseRunner(fleet, demand, NONE)!.runner.id, "b");
  assert.equal(chooseRunner(fleet, large, NONE)!.runner.id, "a");
});
