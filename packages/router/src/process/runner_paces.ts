/**
 * Observed pace of all runners, and its exchange between daemons.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import { LoopDelay } from "./loop_delay.ts";
import { ObservedPace } from "./observed_pace.ts";
import type {
  EventGap,
  FirstEvent,
  PaceSample,
  PlainResponse,
} from "./observed_pace.ts";
import { addSums, NO_SUMS, observedMs, PACE_FIELDS } from "./pace_sums.ts";
import type { PaceSums } from "./pace_sums.ts";
import type { Runner } from "./runner.ts";
import { ASSUMED_PACE } from "./runner_pace.ts";
import type { RunnerPace } from "./runner_pace.ts";
import type { NeighbourFilter } from "./runner_queue.ts";
import type { SchedulingMode } from "./scheduling_mode.ts";
import { STATED_TTL_MS } from "./stated_work.ts";
import { TokenBucket } from "./token_bucket.ts";

/** The figure that a runner states where work takes as long as usual. */
const USUAL_HUNDREDTHS = 100;
/** Factor from the usual or assumed pace beyond which a value is absurd. */
const ABSURD_FACTOR = 50;
/** Typical step without prefill, in ms, around which sums are plausible. */
const USUAL_STEP_MS = 8;
/** Bounds in ms of the work of a plain service in plausible sums. */
const MIN_RESPONSE_MS = 0.1;
const MAX_RESPONSE_MS = 60_000;
/**
 * Observed time in ms above which one update on a runner is absurd: a full batch
 * of streams adds 64 s in a second.
 */
const MAX_CHANGE_MS = 600_000;
/** Log lines a minute on paces, and on values that are left out. */
const LOG_RATE = { perSecond: 10 / 60, burst: 10 };
/** Change of a runner's factor since its last log line that is logged. */
const LOGGED_CHANGE = 1.5;
/**
 * Runners kept that no list has, because their entry has not reached this
 * daemon yet.
 */
const MAX_UNLISTED = 200;
/** Runners of one service whose pace is shown in metrics. */
const MAX_SAMPLES = 50;
/**
 * Share of an engine's observed time by which this process may have been late to
 * see its end. One that is late by more would make the engine seem slower.
 */
const MAX_DELAY_SHARE = 0.15;

/** What daemons tell each other about the pace of a runner. */
export interface PaceUpdate {
  readonly runner: string;
  /** Sums since the daemons started. */
  readonly sums: PaceSums;
  /** The last stated figure in hundredths, while it is fresh. */
  readonly stated: StatedFigure | undefined;
}

/** A figure by which a runner states how long work takes on its host. */
export interface StatedFigure {
  readonly hundredths: number;
  /** When it was stated, in monotonic ms. */
  readonly at: number;
}

/** Observations of one runner, by the daemon they came from. */
interface Observations {
  own: PaceSums;
  /** Observations of other daemons since their first report, by neighbour. */
  readonly neighbours: Map<string, PaceSums>;
  /** Last reported sums, by neighbour. */
  readonly reported: Map<string, PaceSums>;
  stated: StatedFigure | undefined;
  /** The neighbour that sent the figure; undefined for a response. */
  statedBy: string | undefined;
  loggedFactor: number;
}

/**
 * Holds the observed pace of each service whose requests are scheduled
 * adaptively, and merges the observations of all daemons: each sends sums that
 * only grow, from which receivers take differences. The first report of a
 * neighbour is a baseline, as it is unknown when its observations were made.
 *
 * @example
 * ```ts
 * paces.recordFirstEvent(runner, { ms: 130, tokens: 3_720, now });
 * const ms = paces.of("drafting-llm").prefillMs(runner.id, 13_300, now);
 * ```
 */
export class RunnerPaces {
  readonly #scheduling: Pick<
    SchedulingMode,
    "isAdaptive" | "observesEngines" | "recordStatedSpeed"
  >;
  readonly #log: EventLog;
  readonly #paces = new Map<string, ObservedPace>();
  readonly #observations = new Map<string, Observations>();
  /** Services of listed runners, by runner id. */
  readonly #services = new Map<string, string>();
  /** Runners with new observations, and whether to send them at once. */
  readonly #changed = new Map<string, boolean>();
  readonly #paceLines = new TokenBucket(LOG_RATE);
  readonly #faultLines = new TokenBucket(LOG_RATE);
  readonly #delay = new LoopDelay();

  constructor(
    scheduling: Pick<
      SchedulingMode,
      "isAdaptive" | "observesEngines" | "recordStatedSpeed"
    >,
    log: EventLog,
  ) {
    this.#scheduling = scheduling;
    this.#log = log;
  }

  /**
   * Pace of a service: observed where its engines are, and for a plain service that
   * is scheduled adaptively.
   */
  of(service: string): RunnerPace {
    return this.#scheduling.observesEngines(service) ||
        (this.#paces.has(service) && this.#scheduling.isAdaptive(service))
      ? this.#observed(service)
      : ASSUMED_PACE;
  }

  /** Records by how many ms a timer of this process was late. */
  recordDelay(ms: number, now: number): void {
    this.#delay.record(ms, now);
  }

  /** The longest lateness of a timer of the last half second, in ms. */
  recentDelayMs(now: number): number {
    return this.#delay.recentMs(now);
  }

  /** Records the first event of a stream from a runner. */
  recordFirstEvent(runner: Runner, event: FirstEvent): void {
    if (!this.#observes(runner, event)) return;
    this.#record(
      runner,
      event.now,
      (pace) => pace.recordFirstEvent(runner.id, event),
    );
  }

  /** Records the time between two events of a stream. */
  recordGap(runner: Runner, gap: EventGap): void {
    if (!this.#observes(runner, gap)) return;
    this.#record(runner, gap.now, (pace) => pace.recordGap(runner.id, gap));
  }

  /** Records a response of a plain runner. */
  recordResponse(runner: Runner, response: PlainResponse): void {
    this.#record(
      runner,
      response.now,
      (pace) => pace.recordResponse(runner.id, response),
    );
  }

  /**
   * Records how long work takes on a runner's host, in hundredths of the usual
   * time, as the runner states it in a response.
   */
  recordStated({ id, service }: Runner, hundredths: number, now: number): void {
    if (!isPlausible(hundredths, USUAL_HUNDREDTHS)) {
      return this.#logLeftOut(id, "stated", { value: hundredths, now });
    }
    this.#scheduling.recordStatedSpeed(service);
    if (!this.#scheduling.isAdaptive(service)) return;
    const figure = { hundredths, at: now };
    if (!this.#applyStated(id, service, figure, undefined)) return;
    const work = hundredths / USUAL_HUNDREDTHS;
    this.#observed(service).recordSpread(id, work, now);
    this.#markChanged(id, this.#observed(service).hasUnusualFigure(id, now));
  }

  /**
   * Runners with observations that were not taken yet, and whether they are to
   * be sent at once.
   */
  takeChanged(): ReadonlyMap<string, boolean> {
    const changed = new Map(this.#changed);
    this.#changed.clear();
    return changed;
  }

  /** Observations of this daemon and of the neighbours selected. */
  updateFor(
    runner: string,
    includes: NeighbourFilter,
    now: number,
  ): PaceUpdate | undefined {
    const known = this.#observations.get(runner);
    if (known === undefined) return undefined;
    let sums = known.own;
    for (const [neighbour, observed] of known.neighbours) {
      if (includes(neighbour)) sums = addSums(sums, observed);
    }
    const { stated, statedBy } = known;
    const fresh = stated !== undefined && now - stated.at < STATED_TTL_MS &&
      (statedBy === undefined || includes(statedBy));
    return { runner, sums, stated: fresh ? stated : undefined };
  }

  /**
   * Applies the updates of a neighbour.
   *
   * @returns the runners that they change, and whether that is to be sent at
   * once.
   */
  applyUpdates(
    neighbour: string,
    updates: readonly PaceUpdate[],
    now: number,
  ): ReadonlyMap<string, boolean> {
    const changed = new Map<string, boolean>();
    for (const { runner, sums, stated } of updates) {
      const service = this.#services.get(runner);
      if (service === undefined && !this.#mayKeep(runner)) continue;
      const added = this.#applySums(neighbour, { runner, sums, now });
      const unusual = stated !== undefined &&
        this.#applyReceivedFigure(neighbour, { runner, stated, now });
      if (added || unusual) changed.set(runner, unusual);
    }
    return changed;
  }

  /** Discards the observations of a neighbour whose link is lost. */
  removeNeighbour(neighbour: string): void {
    for (const { neighbours, reported } of this.#observations.values()) {
      neighbours.delete(neighbour);
      reported.delete(neighbour);
    }
  }

  /** Replaces the list of runners and forgets all others. */
  retain(runners: readonly Runner[]): void {
    this.#services.clear();
    for (const { id, service } of runners) this.#services.set(id, service);
    for (const id of this.#observations.keys()) {
      if (!this.#services.has(id)) this.#observations.delete(id);
    }
    const ids = new Set(this.#services.keys());
    for (const pace of this.#paces.values()) pace.retain(ids);
  }

  /** The runners of each service whose pace differs most from its mean. */
  samples(
    now: number,
  ): readonly (PaceSample & { readonly service: string })[] {
    return [...this.#paces].flatMap(([service, pace]) => {
      const deviation = ({ factor }: PaceSample) => Math.abs(Math.log(factor));
      return [...pace.samples(now)]
        .sort((one, other) => deviation(other) - deviation(one))
        .slice(0, MAX_SAMPLES)
        .map((sample) => ({ ...sample, service }));
    });
  }

  /** Whether a time of an engine counts. */
  #observes(
    { service }: Runner,
    { ms, now }: Pick<FirstEvent, "ms" | "now">,
  ): boolean {
    return this.#scheduling.observesEngines(service) &&
      this.#delay.recentMs(now) <= MAX_DELAY_SHARE * ms;
  }

  #record(
    { id, service }: Runner,
    now: number,
    observe: (pace: ObservedPace) => PaceSums | undefined,
  ): void {
    if (!this.#scheduling.isAdaptive(service)) return;
    const change = observe(this.#observed(service));
    if (change === undefined) return;
    const known = this.#observationsOf(id);
    known.own = addSums(known.own, change);
    this.#markChanged(id, false);
    this.#logPace(id, service, now);
  }

  #applySums(neighbour: string, received: {
    readonly runner: string;
    readonly sums: PaceSums;
    readonly now: number;
  }): boolean {
    const { runner, sums, now } = received;
    if (!areNumbers(sums)) {
      this.#logLeftOut(runner, "peer", { value: "no numbers", now });
      return false;
    }
    const known = this.#observationsOf(runner);
    const before = known.reported.get(neighbour);
    known.reported.set(neighbour, sums);
    if (before === undefined) return false;
    const change = addSums(sums, before, -1);
    // A neighbour's sums shrink when it loses one of its own neighbours.
    if (PACE_FIELDS.some((field) => change[field] < 0)) return false;
    if (PACE_FIELDS.every((field) => change[field] === 0)) return false;
    if (!isPlausibleChange(change)) {
      this.#logLeftOut(runner, "peer", { value: "absurd", now });
      return false;
    }
    const merged = known.neighbours.get(neighbour) ?? NO_SUMS;
    known.neighbours.set(neighbour, addSums(merged, change));
    const service = this.#services.get(runner);
    if (service !== undefined && this.#applies(service, change)) {
      this.#observed(service).apply(runner, change, now);
      this.#logPace(runner, service, now);
    }
    return true;
  }

  #applies(service: string, change: PaceSums): boolean {
    return this.#scheduling.observesEngines(service) ||
      (change.responses > 0 && this.#scheduling.isAdaptive(service));
  }

  /** @returns whether the figure is new here and differs from the usual one. */
  #applyReceivedFigure(neighbour: string, received: {
    readonly runner: string;
    readonly stated: StatedFigure;
    readonly now: number;
  }): boolean {
    const { runner, stated, now } = received;
    const service = this.#services.get(runner);
    if (service === undefined) return false;
    if (!isPlausible(stated.hundredths, USUAL_HUNDREDTHS)) {
      this.#logLeftOut(runner, "peer", { value: stated.hundredths, now });
      return false;
    }
    this.#scheduling.recordStatedSpeed(service);
    if (!this.#scheduling.isAdaptive(service)) return false;
    return this.#applyStated(runner, service, stated, neighbour) &&
      this.#observed(service).hasUnusualFigure(runner, now);
  }

  #applyStated(
    runner: string,
    service: string,
    figure: StatedFigure,
    from: string | undefined,
  ): boolean {
    const { hundredths, at } = figure;
    const work = hundredths / USUAL_HUNDREDTHS;
    if (!this.#observed(service).recordStated(runner, work, at)) return false;
    const known = this.#observationsOf(runner);
    known.stated = figure;
    known.statedBy = from;
    return true;
  }

  #observed(service: string): ObservedPace {
    const known = this.#paces.get(service);
    if (known !== undefined) return known;
    const pace = new ObservedPace();
    this.#paces.set(service, pace);
    return pace;
  }

  #observationsOf(runner: string): Observations {
    const known = this.#observations.get(runner);
    if (known !== undefined) return known;
    const observations: Observations = {
      own: NO_SUMS,
      neighbours: new Map(),
      reported: new Map(),
      stated: undefined,
      statedBy: undefined,
      loggedFactor: 1,
    };
    this.#observations.set(runner, observations);
    return observations;
  }

  #mayKeep(runner: string): boolean {
    return this.#observations.has(runner) ||
      this.#observations.size < this.#services.size + MAX_UNLISTED;
  }

  #markChanged(runner: string, urgent: boolean): void {
    this.#changed.set(runner, urgent || (this.#changed.get(runner) ?? false));
  }

  #logPace(runner: string, service: string, now: number): void {
    const pace = this.#observed(service);
    const factor = pace.lastingFactor(runner, now);
    const known = this.#observationsOf(runner);
    const change = factor / known.loggedFactor;
    if (change < LOGGED_CHANGE && change > 1 / LOGGED_CHANGE) return;
    if (this.#paceLines.available(now) < 1) return;
    this.#paceLines.take(1);
    known.loggedFactor = factor;
    const response = pace.responseMs(runner, now);
    this.#log.event("runner_pace", {
      service,
      runner,
      factor: rounded(factor),
      prefill_ms_per_1000: rounded(pace.prefillMs(runner, 1_000, now)),
      chunk_step_ms: rounded(pace.chunkStepMs(runner, now)),
      response_ms: response && rounded(response),
    });
  }

  #logLeftOut(runner: string, source: "stated" | "peer", fault: {
    readonly value: number | string;
    readonly now: number;
  }): void {
    const { value, now } = fault;
    if (this.#faultLines.available(now) < 1) return;
    this.#faultLines.take(1);
    this.#log.event("pace_left_out", { runner, source, value: String(value) });
  }
}

/** Whether a value is a number and within a factor of the usual one. */
function isPlausible(value: number, usual: number): boolean {
  return value >= usual / ABSURD_FACTOR && value <= usual * ABSURD_FACTOR;
}

function areNumbers(sums: PaceSums): boolean {
  return PACE_FIELDS.every((field) => {
    const value: unknown = sums[field];
    return typeof value === "number" && value >= 0 && value < Infinity;
  });
}

/** Whether the means of new observations are near the assumed pace. */
function isPlausibleChange(change: PaceSums): boolean {
  const near = (ms: number, amount: number, usual: number) =>
    amount === 0 ? ms === 0 : isPlausible(ms / amount, usual);
  if (observedMs(change) > MAX_CHANGE_MS) return false;
  const meanResponseMs = change.responseMs / change.responses;
  const { promptMs, promptTokens, stepMs, stepTokens } = change;
  const { responses } = change;
  return near(promptMs, promptTokens, ASSUMED_PACE.prefillMs("", 1, 0)) &&
    near(stepMs, stepTokens, USUAL_STEP_MS) &&
    (responses === 0 ||
      (meanResponseMs >= MIN_RESPONSE_MS && meanResponseMs <= MAX_RESPONSE_MS));
}

function rounded(value: number): number {
  return Number(value.toPrecision(3));
}
