import assert from "node:assert/strict";
import { test } from "node:test";
import { noRestrictions, testEngine } from "../../tests/fixtures.ts";
import { ObservedPace } from "../process/observed_pace.ts";
import { PrefixIndex } from "../process/prefix_index.ts";
import type { PlacedRequest } from "../process/runner_load.ts";
import { ServiceDemand } from "../process/service_demand.ts";
import { RunnerLoads } from "../process/runner_loads.ts";
import type { Engine } from "../version/configuration.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import { chooseRunner } from "./placement.ts";

/** Time between two reviews of a waiting request in ms. */
const REVIEW_MS = 100;
/** Share of the deadline for which a request waits. */
const WAIT_SHARE = 0.4;
/** Share of streams that one daemon observes. */
const OBSERVED = 0.25;
/** Moments of a shared host in ms, and the share and factor of slow ones. */
const MOMENT_MS = 600;
const SLOW_SHARE = 0.15;
const SLOW_FACTOR = 2.5;
/** Shared prompts of a kind, and the share of the kind that has the first one. */
const TOPICS = 24;
const HOT_SHARE = 0.29;
/** Time after the last request in ms. */
const DRAIN_MS = 6_000;
/** Share of a generated token in the work of an engine, in ms. */
const TOKEN_MS = 0.25;
/** Shared tokens that an engine keeps in its cache. */
const CACHE_TOKENS = 300_000;

interface Kind {
  readonly name: string;
  readonly perSecond: number;
  readonly shared: number;
  readonly own: number;
  readonly targetMs: number;
  readonly gapMs: number;
  readonly timeoutMs: number;
  readonly rank: number;
}

interface Fleet {
  readonly engines: number;
  readonly factors: readonly number[];
  readonly slowMoments: boolean;
  readonly tokensPerMs: number;
  readonly chunkTokens: number;
  readonly stepMs: number;
  readonly engine: Engine;
  readonly kinds: readonly Kind[];
}

/** Engines and requests of customer R, by engine. */
const R: Fleet = {
  engines: 15,
  factors: [0.7, 0.7, 1.7],
  slowMoments: true,
  tokensPerMs: 38,
  chunkTokens: 2_048,
  stepMs: 4.63,
  engine: {
    slots: 64,
    memoryTokens: 540_216,
    eventTokens: 4,
    fetchMsPerToken: 0.0012,
  },
  kinds: [
    kind("long", 68 / 63, [13_300, 3_720], [2_527, 1_200, 12_130], 2),
    kind("middle", 37 / 63, [6_300, 2_890], [819, 500, 6_143], 1),
    kind("urgent", 58 / 63, [350, 1_110], [511, 300, 15_336], 0),
  ],
};

/** The same of customer H. */
const H: Fleet = {
  engines: 42,
  factors: [1],
  slowMoments: false,
  tokensPerMs: 157,
  chunkTokens: 1_024,
  stepMs: 3.55,
  engine: { ...R.engine, memoryTokens: 1_197_750, eventTokens: 6 },
  kinds: [
    kind("long", 131 / 42, [13_300, 3_720], [1_227, 500, 8_181], 2),
    kind("middle", 131 / 42, [6_300, 2_890], [619, 200, 5_159], 1),
    kind("urgent", 92 / 42, [350, 1_110], [611, 120, 10_187], 0),
  ],
};

function kind(
  name: string,
  perSecond: number,
  [shared, own]: readonly [number, number],
  [targetMs, gapMs, timeoutMs]: readonly [number, number, number],
  rank: number,
): Kind {
  return { name, perSecond, shared, own, targetMs, gapMs, timeoutMs, rank };
}

/** One stream, from its request to its last event. */
interface Stream {
  readonly kind: Kind;
  readonly demand: Demand;
  readonly at: number;
  readonly observed: boolean;
  reviewAt: number;
  waiting: (() => void) | undefined;
  placed: PlacedRequest;
  tokensAhead: number;
  sentAt: number;
  unread: number;
  tokensLeft: number;
  eventTokens: number;
  eventAt: number;
  unreadAtEvent: number;
  longestGapMs: number;
}

/** What callers of one kind got. */
interface Outcome {
  offered: number;
  /** Streams that began within their target and kept their pause. */
  good: number;
}

interface ModelEngine {
  readonly id: string;
  readonly factor: number;
  readonly cached: Map<string, number>;
  readonly prefilling: Stream[];
  readonly streams: Set<Stream>;
  readonly random: () => number;
  momentFactor: number;
  momentUntil: number;
  stepEndsAt: number;
  finishStep: (() => void) | undefined;
  workMs: number;
}

function randomNumbers(seed: number): () => number {
  let state = seed * 7_919;
  return () => {
    state = state * 48_271 % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Plays requests on engines that prefill in chunks and generate in batches. */
class Play {
  readonly outcomes: Readonly<Record<string, Outcome>>;
  readonly engines: readonly ModelEngine[];
  /** Shared tokens that were served, and those that were prefilled. */
  sharedTokens = 0;
  sharedTokensRead = 0;
  readonly #countFrom: number;
  readonly #fleet: Fleet;
  readonly #pace = new ObservedPace();
  readonly #loads = new RunnerLoads();
  readonly #prefixes = new PrefixIndex();
  readonly #demand = new ServiceDemand();
  readonly #runners;
  #waiting: Stream[] = [];
  readonly #random: () => number;

  /** @param options.countFrom time in ms from which work is counted. */
  constructor(fleet: Fleet, options: {
    readonly seed: number;
    readonly countFrom: number;
  }) {
    const { seed, countFrom } = options;
    this.#fleet = fleet;
    this.#countFrom = countFrom;
    this.#random = randomNumbers(seed);
    this.engines = Array.from({ length: fleet.engines }, (_, index) => ({
      id: `r-${index}`,
      factor: fleet.factors[index % fleet.factors.length]!,
      cached: new Map(),
      prefilling: [],
      streams: new Set(),
      random: randomNumbers(seed + 100 * index),
      momentFactor: 1,
      momentUntil: -1,
      stepEndsAt: Infinity,
      finishStep: undefined,
      workMs: 0,
    }));
    this.#runners = this.engines.map(({ id }) => testEngine(id));
    this.outcomes = Object.fromEntries(
      fleet.kinds.map(({ name }) => [name, { offered: 0, good: 0 }]),
    );
  }

  /**
   * Plays until all streams have ended.
   *
   * @param rate factor of a kind's usual rate at a time.
   */
  run(untilMs: number, rate: (kind: Kind, now: number) => number): this {
    for (let now = 0; now < untilMs + DRAIN_MS; now += 1) {
      if (now === this.#countFrom) this.#resetCounts();
      for (const kind of now < untilMs ? this.#fleet.kinds : []) {
        const perMs = kind.perSecond * this.engines.length / 1_000;
        if (this.#random() < perMs * rate(kind, now)) this.#arrive(kind, now);
      }
      this.#review(now);
      for (const engine of this.engines) {
        if (engine.stepEndsAt <= now) {
          engine.finishStep!();
          engine.stepEndsAt = Infinity;
        }
        if (engine.stepEndsAt === Infinity) this.#beginStep(engine, now);
      }
    }
    return this;
  }

  /** Work of the busiest engine relative to the mean, by its pace. */
  get busiest(): number {
    const works = this.engines.map(({ workMs }) => workMs);
    const mean = works.reduce((sum, ms) => sum + ms, 0) / works.length;
    return Math.max(...works) / mean;
  }

  #resetCounts(): void {
    this.sharedTokens = 0;
    this.sharedTokensRead = 0;
    for (const engine of this.engines) engine.workMs = 0;
  }

  #fleetAt(now: number): RunnerFleet {
    return {
      runners: this.#runners,
      loads: this.#loads,
      restrictions: noRestrictions(),
      pace: this.#pace,
      prefixes: this.#prefixes,
      shortestGapMs: Math.min(...this.#fleet.kinds.map(({ gapMs }) => gapMs)),
      demand: this.#demand,
      failureDomain: "d",
      now,
    };
  }

  #arrive(kind: Kind, now: number): void {
    const hot = this.#random() < HOT_SHARE;
    const topic = hot ? 0 : 1 + Math.floor(this.#random() * (TOPICS - 1));
    const tokens = 40 + Math.floor(this.#random() * 160);
    this.outcomes[kind.name]!.offered += 1;
    this.#waiting.push({
      kind,
      demand: {
        prompt: [
          { id: `${kind.name}-${topic}`, tokens: kind.shared },
          { id: `own-${now}`, tokens: kind.own },
        ],
        promptTokens: kind.shared + kind.own,
        maxOutputTokens: 200,
        expectedOutputTokens: 120,
        timeoutMs: kind.timeoutMs,
        targetMs: kind.targetMs,
        gapTargetMs: kind.gapMs,
        queueKey: {
          rank: kind.rank,
          arrivedAt: now,
          startBy: now + 0.7 * kind.targetMs,
        },
        awaitedRunner: undefined,
        lessUrgentRanks: 2 - kind.rank,
        engine: this.#fleet.engine,
      },
      at: now,
      observed: this.#random() < OBSERVED,
      reviewAt: now,
      waiting: undefined,
      placed: { unreadTokens: 0, memoryTokens: 0, tight: false },
      tokensAhead: 0,
      sentAt: now,
      unread: 0,
      tokensLeft: tokens,
      eventTokens: 0,
      eventAt: 0,
      unreadAtEvent: 0,
      longestGapMs: 0,
    });
  }

  #review(now: number): void {
    const due = this.#waiting.filter(({ reviewAt }) => reviewAt <= now)
      .sort((one, other) => one.kind.rank - other.kind.rank);
    for (const stream of due) {
      stream.waiting?.();
      stream.waiting = undefined;
      if (this.#send(stream, now)) {
        this.#waiting = this.#waiting.filter((other) => other !== stream);
      }
    }
  }

  /** @returns whether the request need not wait any longer. */
  #send(stream: Stream, now: number): boolean {
    const { kind, demand } = stream;
    if (now - stream.at > WAIT_SHARE * kind.timeoutMs) return true;
    const fleet = this.#fleetAt(now);
    const choice = chooseRunner(fleet, demand, new Set())!;
    const { id } = choice.runner;
    const load = this.#loads.of(id);
    if (choice.overloaded) {
      const entry = {
        ...demand.queueKey,
        requests: 1,
        unreadTokens: choice.prefillTokens,
      };
      load.queue.add(entry);
      stream.waiting = () => load.queue.remove(entry);
      stream.reviewAt = now + REVIEW_MS;
      return false;
    }
    const engine = this.engines.find((other) => other.id === id)!;
    const topic = demand.prompt[0]!;
    const cached = engine.cached.has(topic.id) ||
      choice.fetchFrom !== undefined;
    this.sharedTokens += topic.tokens;
    if (!cached) this.sharedTokensRead += topic.tokens;
    stream.unread = kind.own + (cached ? 0 : kind.shared);
    stream.tokensAhead = load.total.unreadTokens + choice.prefillTokens;
    stream.sentAt = now;
    stream.placed = {
      unreadTokens: choice.prefillTokens,
      memoryTokens: demand.promptTokens + demand.maxOutputTokens,
      tight: choice.tight,
    };
    load.place(stream.placed, now);
    if (stream.observed) {
      this.#demand.prompts.record(topic.id, choice.prefillTokens, now);
    }
    this.#prefixes.recordSent(id, demand.prompt, now);
    engine.prefilling.push(stream);
    return true;
  }

  #beginStep(engine: ModelEngine, now: number): void {
    if (engine.prefilling.length + engine.streams.size === 0) return;
    if (this.#fleet.slowMoments && now >= engine.momentUntil) {
      engine.momentFactor = engine.random() < SLOW_SHARE ? SLOW_FACTOR : 1;
      engine.momentUntil = now + MOMENT_MS;
    }
    const { chunkTokens, tokensPerMs, stepMs } = this.#fleet;
    let left = chunkTokens;
    const finished: Stream[] = [];
    for (const stream of engine.prefilling) {
      const tokens = Math.min(left, stream.unread);
      stream.unread -= tokens;
      left -= tokens;
      if (stream.unread > 0) break;
      finished.push(stream);
    }
    const batch = [...engine.streams];
    const ms = engine.factor * engine.momentFactor *
      (stepMs + 0.05 * batch.length + (chunkTokens - left) / tokensPerMs);
    engine.workMs += engine.factor *
      (TOKEN_MS * batch.length + (chunkTokens - left) / tokensPerMs);
    engine.stepEndsAt = now + ms;
    engine.finishStep = () => {
      for (const stream of batch) this.#generate(engine, stream, now + ms);
      for (const stream of finished) this.#begin(engine, stream, now + ms);
    };
  }

  #begin(engine: ModelEngine, stream: Stream, now: number): void {
    engine.prefilling.splice(engine.prefilling.indexOf(stream), 1);
    engine.streams.add(stream);
    const [topic] = stream.demand.prompt;
    engine.cached.delete(topic!.id);
    engine.cached.set(topic!.id, topic!.tokens);
    let tokens = [...engine.cached.values()].reduce((sum, one) => sum + one, 0);
    for (const [id, evicted] of engine.cached) {
      if (tokens <= CACHE_TOKENS) break;
      engine.cached.delete(id);
      tokens -= evicted;
    }
    const load = this.#loads.of(engine.id);
    if (stream.observed) {
      const { sentAt, tokensAhead } = stream;
      const event = { ms: now - sentAt, tokens: tokensAhead, now };
      this.#pace.recordFirstEvent(engine.id, event);
    }
    if (this.#fleet.slowMoments) {
      this.#pace.recordStated(engine.id, engine.momentFactor, now);
      if (stream.observed) {
        this.#pace.recordSpread(engine.id, engine.momentFactor, now);
      }
    }
    load.recordFirstEvent(stream.placed);
    load.recordActivity(now);
    this.#prefixes.recordPrefill(engine.id, stream.demand.prompt, now);
    stream.eventAt = now;
    stream.unreadAtEvent = load.total.unreadTokens;
    if (now - stream.at > stream.kind.targetMs) stream.longestGapMs = Infinity;
  }

  #generate(engine: ModelEngine, stream: Stream, now: number): void {
    stream.tokensLeft -= 1;
    stream.eventTokens += 1;
    const load = this.#loads.of(engine.id);
    if (stream.eventTokens === this.#fleet.engine.eventTokens) {
      const ms = now - stream.eventAt;
      const { total } = load;
      if (stream.observed) {
        this.#pace.recordGap(engine.id, {
          ms,
          tokens: stream.eventTokens,
          requests: total.inFlight,
          unreadBefore: stream.unreadAtEvent,
          unreadAfter: total.unreadTokens,
          now,
        });
      }
      load.recordActivity(now);
      stream.longestGapMs = Math.max(stream.longestGapMs, ms);
      stream.eventTokens = 0;
      stream.eventAt = now;
      stream.unreadAtEvent = total.unreadTokens;
    }
    if (stream.tokensLeft > 0) return;
    engine.streams.delete(stream);
    load.release(stream.placed);
    if (stream.observed && stream.placed.tight) {
      this.#demand.reserve.recordEnd({
        durationMs: now - stream.sentAt,
        prefillTokens: stream.placed.unreadTokens,
      }, now);
    }
    if (stream.longestGapMs > stream.kind.gapMs) return;
    this.outcomes[stream.kind.name]!.good += 1;
  }
}

const R63: Fleet = { ...R, engines: 63 };
const BURST = 2.7;

/** Plays bursts of long prompts, each with another seed. */
function plays(fleet: Fleet, count: number, burst: {
  readonly from: number;
  readonly to: number;
  readonly countFrom?: number;
}): readonly Play[] {
  const { from, to, countFrom = 0 } = burst;
  return Array.from(
    { length: count },
    (_, index) =>
      new Play(fleet, { seed: index + 1, countFrom }).run(
        to,
        ({ name }, now) => name === "long" && now >= from ? BURST : 1,
      ),
  );
}

/** Share of the streams of a kind that began on time and kept their pause. */
function goodShare(all: readonly Play[], kind: string): number {
  const sum = (count: (outcome: Outcome) => number) =>
    all.reduce((total, { outcomes }) => total + count(outcomes[kind]!), 0);
  return sum(({ good }) => good) / sum(({ offered }) => offered);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

// Guards against urgent streams beside long prompts at the start of traffic, when
// nothing is known of engines of which a third takes 2.4 times as long as the
// others: without a reserve, 0.15 of them are late.
for (
  const { fleet, count } of [{ fleet: R, count: 16 }, { fleet: R63, count: 6 }]
) {
  test(`urgent streams keep their pause in a first burst on ${fleet.engines} engines`, () => {
    const all = plays(fleet, count, { from: 0, to: 9_000 });
    const shares = ["urgent", "middle", "long"].map((kind) =>
      goodShare(all, kind)
    );
    const [urgent, middle, long] = shares as [number, number, number];
    assert.ok(urgent > 0.92, `urgent ${urgent}`);
    assert.ok(middle > 0.88, `middle ${middle}`);
    assert.ok(long > 0.95, `long ${long}`);
  });
}

// Guards against homes and costs that give one engine twice the mean work, and
// against balance that is bought by prompts that are read again.
for (
  const { fleet, count, busiest, name } of [
    { fleet: R, count: 16, busiest: 1.4, name: "uneven" },
    { fleet: R63, count: 6, busiest: 1.65, name: "uneven" },
    { fleet: H, count: 3, busiest: 1.3, name: "equal" },
  ]
) {
  test(`a burst spreads over ${fleet.engines} ${name} engines by their pace`, () => {
    const burst = { from: 8_000, to: 14_000, countFrom: 8_000 };
    const all = plays(fleet, count, burst);
    const most = mean(all.map((play) => play.busiest));
    assert.ok(most < busiest, `busiest ${most}`);
    const read = mean(
      all.map((play) => play.sharedTokensRead / play.sharedTokens),
    );
    assert.ok(read < 0.02, `read ${read}`);
    for (const kind of ["urgent", "middle", "long"]) {
      const share = goodShare(all, kind);
      assert.ok(share > 0.95, `${kind} ${share}`);
    }
  });
}
