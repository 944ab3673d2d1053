import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { noRestrictions } from "../../tests/fixtures.ts";
import { PlainCapacity } from "../process/plain_capacity.ts";
import { PrefixIndex } from "../process/prefix_index.ts";
import type { Runner } from "../process/runner.ts";
import { NO_LOAD } from "../process/load_totals.ts";
import { RunnerLoads } from "../process/runner_loads.ts";
import { ASSUMED_PACE } from "../process/runner_pace.ts";
import type { RunnerPace } from "../process/runner_pace.ts";
import type { Demand } from "./demand.ts";
import { choosePlainRunner, isWaitUseful, roomAt } from "./plain_admission.ts";
import type { PlainFleet } from "./plain_admission.ts";

const PLACED = { unreadTokens: 0, memoryTokens: 0, tight: false };
const WORK_MS = 40;

/** Runners of a plain service as one daemon sees them, with a settable clock. */
class TestFleet {
  readonly loads = new RunnerLoads();
  readonly capacity = new PlainCapacity();
  readonly runners: readonly Runner[];
  /** Responses so far, by runner. */
  readonly #answered = new Map<string, number>();
  readonly #random: () => number;
  now = 1_000;
  propagationMs = 90;
  heardShare = 1;
  pace: RunnerPace = { ...ASSUMED_PACE, responseMs: () => WORK_MS };

  constructor(runners: number, slots: number) {
    this.runners = Array.from({ length: runners }, (_, index) => ({
      id: `r-${index}`,
      name: `r-${index}`,
      startedAtMs: undefined,
      service: "cards",
      address: "10.0.0.1",
      port: index,
      failureDomain: "d",
      slots,
      draining: false,
      warmUpMs: 0,
    }));
    const generator = xoroshiro128plus(7);
    this.#random = () => uniformFloat64(generator);
  }

  get view(): PlainFleet {
    return {
      runners: this.runners,
      loads: this.loads,
      prefixes: new PrefixIndex(),
      restrictions: noRestrictions(),
      pace: this.pace,
      failureDomain: "d",
      plain: {
        capacity: this.capacity,
        propagationMs: this.propagationMs,
        heardShare: this.heardShare,
        daemons: 1,
        random: this.#random,
      },
      now: this.now,
    };
  }

  demand(fields: Partial<Demand> & { readonly rank?: number } = {}): Demand {
    const { rank = 0, ...others } = fields;
    return {
      prompt: [],
      promptTokens: 0,
      maxOutputTokens: 0,
      expectedOutputTokens: undefined,
      timeoutMs: 1_500,
      targetMs: 250,
      gapTargetMs: undefined,
      queueKey: { rank, arrivedAt: this.now, startBy: this.now + 160 },
      awaitedRunner: undefined,
      lessUrgentRanks: 0,
      engine: undefined,
      ...others,
    };
  }

  /** Reports what other daemons have at a runner, and their waiting requests. */
  report(runner: string, inFlight: number, waiting: {
    readonly requests: number;
    readonly rank?: number;
  } = { requests: 0 }): void {
    const { requests, rank = 0 } = waiting;
    const answered = this.#answered.get(runner) ?? 0;
    const entry = {
      rank,
      requests,
      arrivedAt: this.now - 100,
      startBy: this.now + 60,
      unreadTokens: 0,
    };
    this.loads.of(runner).setNeighbourLoad("other", {
      ...NO_LOAD,
      inFlight,
      answered,
    }, { now: this.now, waiting: requests > 0 ? [entry] : [] });
  }

  /** Lets all runners complete requests at a steady rate for 600 ms. */
  work(slots: number, inFlight: number): void {
    const perStep = slots / WORK_MS * 10;
    for (let step = 0; step < 60; step++) {
      this.now += 10;
      for (const { id } of this.runners) {
        this.#answered.set(id, (this.#answered.get(id) ?? 0) + perStep);
        this.report(id, inFlight);
        roomAt(this.view, this.demand(), this.#runner(id));
      }
    }
  }

  choose(demand = this.demand()) {
    return choosePlainRunner(this.view, demand, this.runners);
  }

  room(runner: string, demand = this.demand()) {
    return roomAt(this.view, demand, this.#runner(runner));
  }

  #runner(id: string): Runner {
    return this.runners.find((runner) => runner.id === id)!;
  }
}

// Guards against daemons that all send to the least loaded runner: of 73, those
// that get a request within one propagation time see the same loads.
test("the requests of one moment are spread over runners with free slots", () => {
  const fleet = new TestFleet(4, 6);
  fleet.report("r-3", 3);
  const counts = new Map<string, number>();
  for (let count = 0; count < 400; count++) {
    const { room, overloaded } = fleet.choose();
    assert.equal(overloaded, false);
    counts.set(room.runner.id, (counts.get(room.runner.id) ?? 0) + 1);
  }
  for (const id of ["r-0", "r-1", "r-2"]) {
    assert.ok(counts.get(id)! > 80 && counts.get(id)! < 150, `${id}`);
  }
  assert.ok(counts.get("r-3")! > 30 && counts.get("r-3")! < 80);
});

// Guards against a slow runner whose slots fill while fast ones are free.
test("a runner that is slower gets fewer requests", () => {
  const fleet = new TestFleet(2, 6);
  fleet.pace = {
    ...ASSUMED_PACE,
    responseMs: (id) => id === "r-0" ? 100 : 40,
  };
  const slow = Array.from({ length: 300 }, () => fleet.choose().room.runner.id)
    .filter((id) => id === "r-0").length;
  assert.ok(slow < 75, `${slow} of 300`);
});

// Guards against offers that full runners refuse.
test("a request waits while the slots of all runners are taken", () => {
  const fleet = new TestFleet(2, 2);
  fleet.report("r-0", 2);
  fleet.report("r-1", 2);
  assert.equal(fleet.choose().overloaded, true);
  fleet.report("r-1", 1);
  const { room, overloaded } = fleet.choose();
  assert.deepEqual([room.runner.id, overloaded], ["r-1", false]);
});

// Guards against slots that are idle while releases become known, and against
// a burst that gets the overcommit of a busy runner at an idle one.
test("only a runner that completes requests is overcommitted", () => {
  const fleet = new TestFleet(1, 2);
  const waited = { awaitedRunner: "r-0", waitedMs: 90 };
  fleet.report("r-0", 2);
  assert.equal(fleet.choose(fleet.demand(waited)).overloaded, true);
  // At 2 slots and 40 ms, 4.5 requests are completed within 90 ms.
  fleet.work(2, 5);
  assert.equal(fleet.choose(fleet.demand(waited)).overloaded, false);
  assert.equal(
    fleet.choose(fleet.demand({ ...waited, waitedMs: 0 })).overloaded,
    true,
  );
  fleet.report("r-0", 7);
  assert.equal(fleet.choose(fleet.demand(waited)).overloaded, true);
});

test("no more requests than free places are sent past the queues of others", () => {
  const fleet = new TestFleet(2, 2);
  fleet.report("r-0", 2, { requests: 1 });
  fleet.report("r-1", 1);
  assert.equal(fleet.choose().overloaded, true);
  fleet.report("r-1", 0);
  assert.equal(fleet.choose().overloaded, false);
});

// Guards against lower ranks that take the place that an urgent request at
// another daemon, or for another runner, waits for.
test("a less urgent request waits while more urgent ones do, and not the other way", () => {
  const fleet = new TestFleet(2, 2);
  fleet.report("r-0", 2, { requests: 1, rank: 1 });
  fleet.report("r-1", 1);
  assert.equal(fleet.choose(fleet.demand({ rank: 2 })).overloaded, true);
  assert.equal(fleet.choose(fleet.demand({ rank: 0 })).overloaded, false);
});

test("a refusal lowers what a runner gets, and responses raise it slowly", () => {
  const fleet = new TestFleet(1, 4);
  const { capacity, now } = fleet;
  const before = fleet.room("r-0").limit;
  const refuse = (at: number) =>
    capacity.recordRefusal("r-0", {
      load: { running: 4, waiting: 0, slots: 4 },
      slots: 4,
      propagationMs: 90,
      now: at,
    });
  refuse(now);
  const lowered = fleet.room("r-0").limit;
  assert.ok(lowered < before && lowered < 4);
  // Offers that were sent before the first refusal are refused, too.
  refuse(now + 20);
  assert.equal(fleet.room("r-0").limit, lowered);
  for (let count = 0; count < 10; count++) {
    capacity.recordAccepted("r-0", { slots: 4, idle: false });
  }
  const raised = fleet.room("r-0").limit;
  assert.ok(raised > lowered && raised < lowered + 0.1);
  for (let count = 0; count < 1_000; count++) refuse(now + 100 * count);
  assert.ok(fleet.room("r-0").limit >= 1);
});

/** Whether a request waits at runners with this much work ahead. */
function waits(options: {
  readonly ahead: number;
  readonly waitedMs?: number;
  /** Longest wait with which the request is on time. */
  readonly longestMs?: number;
  readonly propagationMs?: number;
  readonly expiresInMs?: number;
}): number {
  const { ahead, waitedMs = 0, expiresInMs = 1_500 } = options;
  const { longestMs = 160, propagationMs = 36 } = options;
  const fleet = new TestFleet(1, 2);
  fleet.propagationMs = propagationMs;
  const receivedAt = fleet.now;
  const startBy = receivedAt + longestMs;
  const demand = fleet.demand({
    queueKey: { rank: 0, arrivedAt: receivedAt, startBy },
    ...(waitedMs === 0 ? {} : { awaitedRunner: "r-0", waitedMs }),
  });
  fleet.now += waitedMs;
  fleet.report("r-0", 2, { requests: ahead });
  const decisions = Array.from(
    { length: 100 },
    () =>
      isWaitUseful(fleet.view, demand, {
        runners: fleet.runners,
        expiresAt: receivedAt + expiresInMs,
      }),
  );
  return decisions.filter((useful) => useful).length;
}

// Guards against queues in which all become late, and against daemons that
// refuse all or none of the requests of one moment.
test("a request that cannot be served on time is refused at once, and more as the queue grows", () => {
  assert.equal(waits({ ahead: 1 }), 100);
  const some = waits({ ahead: 5 });
  assert.ok(some > 10 && some < 90, `${some} of 100`);
  assert.equal(waits({ ahead: 9 }), 0);
});

// Guards against a bound that a long propagation time turns around.
test("a queue is bounded where changes take longer than a request may wait", () => {
  const tight = { longestMs: 40, propagationMs: 150 };
  assert.equal(waits({ ahead: 9, ...tight }), 0);
  assert.equal(waits({ ahead: 0, ...tight }), 0);
  assert.ok(waits({ ahead: 0, longestMs: 60, propagationMs: 150 }) > 10);
});

// Guards against requests that are held only to be refused at the end.
test("a late request waits for what others leave, if anything", () => {
  assert.equal(waits({ ahead: 0, waitedMs: 200 }), 100);
  assert.equal(waits({ ahead: 5, waitedMs: 200 }), 0);
  // While it can still be on time, it is not refused for its place.
  assert.equal(waits({ ahead: 5, waitedMs: 100 }), 100);
});

test("a request that cannot be served before its deadline is refused at once", () => {
  assert.equal(waits({ ahead: 1, expiresInMs: 50 }), 0);
  assert.equal(waits({ ahead: 1, waitedMs: 100, expiresInMs: 150 }), 0);
});

// Guards against 73 daemons that each take all slots when they lose each other.
test("a daemon that is cut off uses its share of the slots", () => {
  const fleet = new TestFleet(1, 6);
  fleet.heardShare = 1 / 3;
  fleet.loads.of("r-0").place(PLACED, fleet.now);
  assert.equal(fleet.choose().overloaded, false);
  fleet.loads.of("r-0").place(PLACED, fleet.now);
  assert.equal(fleet.choose().overloaded, true);
  fleet.heardShare = 1 / 73;
  assert.equal(Math.floor(fleet.room("r-0").limit), 1);
});

test("a daemon that is cut off counts the requests that a runner states", () => {
  const fleet = new TestFleet(1, 6);
  fleet.heardShare = 1 / 2;
  fleet.propagationMs = 0;
  const load = fleet.loads.of("r-0");
  load.recordReport({ running: 5, waiting: 0, slots: 6 }, fleet.now);
  assert.equal(fleet.choose().overloaded, true);
  // They have ended when the runner has had the time of a response.
  fleet.now += WORK_MS;
  assert.equal(fleet.choose().overloaded, false);
});
