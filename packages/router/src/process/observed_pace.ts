/**
 * Speed of the runners of one service, estimated from their responses.
 *
 * @module
 */
import { DecayedFit } from "./decayed_fit.ts";
import { DecayedMean } from "./decayed_mean.ts";
import { DecayedSums, NO_SUMS, observedMs } from "./pace_sums.ts";
import type { PaceSums } from "./pace_sums.ts";
import { ASSUMED_PACE } from "./runner_pace.ts";
import type { EngineSpeed, EventLoad, RunnerPace } from "./runner_pace.ts";
import { meanOfFigures, StatedWork } from "./stated_work.ts";

/**
 * Half-life in ms of observations of one runner. Its speed changes when its host
 * does; slower moments of some hundred ms are known from stated figures only.
 */
const RUNNER_HALF_LIFE_MS = 10_000;
/** Half-life in ms of observations of all runners, which change only together. */
const SERVICE_HALF_LIFE_MS = 30_000;
/**
 * Work in ms of the service's mean in the estimate for one runner: two or three
 * first events outweigh it, a single one does not.
 */
const PRIOR_MS = 200;
/** The assumed pace, before anything is observed: prompt tokens. */
const PRIOR_PROMPT_TOKENS = 8_000;
/** The same, in steps without prefill. */
const PRIOR_STEPS = 40;
/** Assumed duration in ms of a step without prefill and its growth by request. */
const ASSUMED_STEP_MS = 5;
const ASSUMED_STEP_MS_PER_REQUEST = 0.1;
/** Longest growth of a step by request, in ms, that is believed. */
const MAX_STEP_MS_PER_REQUEST = 1;
/** Assumed time in ms from the end of a prefill to the first event. */
const ASSUMED_FIRST_EVENT_MS = 20;
const MAX_FIRST_EVENT_MS = 150;
/** Batches in which the assumed steps count as observed, for the fit. */
const PRIOR_BATCHES = [8, 40] as const;
/** Weight of each of these, in steps. */
const PRIOR_BATCH_WEIGHT = 20;
/** Prompts of which the assumed prefill counts as observed, for the fit. */
const PRIOR_PROMPTS = [0, 8_000] as const;
/** Weight of each of these, in first events. */
const PRIOR_PROMPT_WEIGHT = 2;
/**
 * Prompt tokens at which the weight of a first event is a quarter of that of an
 * empty prompt: times of long prompts vary more.
 */
const PROMPT_WEIGHT_TOKENS = 1_000;
/**
 * Factor by which one observation may differ from its estimate; more counts as
 * this much. A first event may wait for prompts that are not known here, and a
 * daemon may have been paused. A runner that became much slower is followed in
 * several observations.
 */
const MAX_DEVIATION = 2.5;
/**
 * The same for steps without prefill, upwards. Other daemons' prompts are known
 * late, and a chunk makes a step up to ten times as long.
 */
const MAX_STEP_EXCESS = 1.3;
/** Largest expected time in ms with which one observation counts. */
const MAX_OBSERVATION_MS = 100;
/** Share of a first event's time that is prefill at least. */
const MIN_PROMPT_SHARE = 0.25;
/** Prompts below this number of tokens tell nothing of prefill. */
const MIN_PROMPT_TOKENS = 500;
/**
 * Share of steps beside prompts that are shorter than one with a full chunk. Most
 * gaps hold few chunks, and the end of a prefill at another daemon is known late,
 * so a mean is far below the time of a full step.
 */
const CHUNK_QUANTILE = 0.98;
/** Step by which one observation changes the logarithm of the quantile. */
const CHUNK_GAIN = 0.05;
/**
 * Minimum time in ms between two observations of the quantile: after a pause of
 * this daemon, the gaps of all streams are long at once.
 */
const CHUNK_INTERVAL_MS = 20;
/**
 * Observations of the quantile from which steps with a chunk are known. It can
 * grow to 2.6 times the assumed chunk in these.
 */
const MIN_CHUNK_STEPS = 20;
/**
 * Factor by which events may take longer than estimated before these are known:
 * engines differ by as much.
 */
const UNKNOWN_STEP_FACTOR = 2;
/** Bounds of a chunk, in prompt tokens. */
const MIN_CHUNK_TOKENS = 128;
const MAX_CHUNK_TOKENS = 16_384;
/**
 * Wait in a runner's queue, by the time of work, up to which a response counts
 * less its wait. Where requests compete for slots, hardly any response has none.
 */
const MAX_WAIT = 0.5;
/** Weight of a response that waited: its wait is an estimate. */
const WAITED_WEIGHT = 0.25;
/** Responses from which the time of work of a plain service is known. */
const MIN_RESPONSES = 3;
/** Shortest step in ms that is believed. */
const MIN_STEP_MS = 0.2;
/** Factor from its mean at which a stated figure is worth sending at once. */
const UNUSUAL_FACTOR = 1.3;
/**
 * Milliseconds for which an estimate is kept, so that neither each choice among
 * all runners nor each event of a stream computes new ones.
 */
const ESTIMATE_MS = 50;
/**
 * The same for the lasting estimate of a runner that is not observed: only decay
 * and the service's mean change it.
 */
const UNOBSERVED_MS = 500;
/** Half-life in ms of the spread of stated figures, and of their confirmation. */
const SPREAD_HALF_LIFE_MS = 60_000;
/** Figures that differ from nothing in the spread, before any is known. */
const PRIOR_SPREAD_FIGURES = 4;
/**
 * Standard deviations of stated figures above the mean that a slow moment has: two
 * times the mean where 15 of 100 moments take 2.5 times as long as the others.
 */
const SLOW_MOMENT_DEVIATIONS = 2.5;
/** Share of confirmed figures below which moments are not believed. */
const UNDECIDED = 0.5;
/** Trust in a runner's figures from which they count in the spread. */
const TRUSTED = 0.5;
/** Bounds of a runner's factor on the service's mean. */
const MIN_FACTOR = 0.05;
const MAX_FACTOR = 20;

const ASSUMED_MS_PER_TOKEN = ASSUMED_PACE.prefillMs("", 1, 0);
const ASSUMED_CHUNK_STEP_MS = ASSUMED_PACE.chunkStepMs(undefined, 0);
/** Assumed prompt tokens of a chunk. */
const ASSUMED_CHUNK_TOKENS = ASSUMED_CHUNK_STEP_MS / ASSUMED_MS_PER_TOKEN;

/** Time from sending a request to the first event of its stream. */
export interface FirstEvent {
  readonly ms: number;
  /**
   * Prompt tokens that the runner had to prefill for it, and for all requests
   * that were ahead of it when it was sent.
   */
  readonly tokens: number;
  /** Monotonic time in ms of the event. */
  readonly now: number;
}

/** Time between two events of a stream, and the runner's other work in it. */
export interface EventGap {
  readonly ms: number;
  /** Tokens of the stream in this time, each of which took a step. */
  readonly tokens: number;
  /** Requests at the runner. */
  readonly requests: number;
  /** Prompt tokens at the runner that awaited prefill at the start of the gap. */
  readonly unreadBefore: number;
  /** The same at its end. */
  readonly unreadAfter: number;
  /** Monotonic time in ms of the end. */
  readonly now: number;
}

/** Time in which a plain runner responded. */
export interface PlainResponse {
  readonly ms: number;
  /** Requests at the runner when the request was sent. */
  readonly ahead: number;
  /** Requests that the runner works on at the same time. */
  readonly slots: number;
  /** Monotonic time in ms of the end of the response. */
  readonly now: number;
}

/** Estimated pace of one runner. */
export interface PaceSample {
  readonly runner: string;
  /** Time of its work relative to the mean of the service, without moments. */
  readonly factor: number;
}

/** Pace of a mean runner. */
interface ServiceModel {
  readonly msPerPromptToken: number;
  /** Time from the end of a prefill to the first event, in ms. */
  readonly firstEventMs: number;
  /** Duration of a step without prefill and without requests, in ms. */
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  readonly chunkStepMs: number;
  /** Undefined while unknown, and for engines. */
  readonly responseMs: number | undefined;
  /** Mean of the figures that runners state. */
  readonly statedWork: number;
  /** By the figures that runners state, unless observations refute these. */
  readonly slowMomentFactor: number;
  /** Factor by which an event may take longer. */
  readonly eventMargin: number;
}

/** Speed of an engine by the model of the service and the runner's factor. */
class ModelSpeed implements EngineSpeed {
  chunkStepMs = ASSUMED_CHUNK_STEP_MS;
  #msPerPromptToken = ASSUMED_MS_PER_TOKEN;
  #model: ServiceModel | undefined;
  #slowFactor = 1;

  prefillMs(tokens: number): number {
    return tokens * this.#msPerPromptToken;
  }

  eventMs({ tokens, requests, unreadTokens }: EventLoad): number {
    const model = this.#model!;
    const stepMs = model.stepMs + model.stepMsPerRequest * requests;
    const prefillMs = Math.min(
      unreadTokens * model.msPerPromptToken,
      tokens * model.chunkStepMs,
    );
    return this.#slowFactor * (tokens * stepMs + prefillMs);
  }

  /**
   * @param factor time of work, relative to the mean of the service.
   * @param lasting the same without the current moment.
   */
  set(model: ServiceModel, factor: number, lasting: number): void {
    this.chunkStepMs = model.chunkStepMs * factor;
    this.#msPerPromptToken = model.msPerPromptToken * factor;
    this.#model = model;
    this.#slowFactor = Math.max(factor, lasting * model.eventMargin);
  }
}

interface RunnerState {
  readonly sums: DecayedSums;
  readonly stated: StatedWork;
  readonly speed: ModelSpeed;
  speedAt: number;
  /** Estimate without the last stated figure, as of `lastingAt`. */
  lasting: number;
  lastingAt: number;
  /** When the runner was observed, in monotonic ms. */
  observedAt: number;
  /** Mean of its stated figures, and trust in them, as of `statedAt`. */
  statedMean: number;
  statedTrust: number;
  /** Prior in ms of its sums. */
  priorMs: number;
  statedAt: number;
}

/**
 * Estimates the pace of each runner of a service by few parameters, since one
 * daemon of a large fleet sees a few responses a second: the pace of a mean
 * runner, and for each runner a factor for all kinds of its work. The factor is
 * learned from the sums of all daemons; a figure that the runner states
 * multiplies it while the figure is fresh.
 *
 * Answers two loads: engines that prefill three times as much as assumed, from
 * which admission held work back, and engines that are up to 2.5 times slower
 * than others, on which an event of a stream took longer than its pause.
 *
 * @example
 * ```ts
 * pace.recordFirstEvent("r-1", { ms: 130, tokens: 3_720, now });
 * const ms = pace.prefillMs("r-1", 13_300, now);
 * ```
 */
export class ObservedPace implements RunnerPace {
  readonly #sums = new DecayedSums(SERVICE_HALF_LIFE_MS);
  readonly #statedWork = meanOfFigures();
  /** Square of figures relative to the means of their runners. */
  readonly #spread = new DecayedMean(SPREAD_HALF_LIFE_MS, {
    mean: 1,
    weight: PRIOR_SPREAD_FIGURES,
  });
  /** Share of unusual figures that observations confirm. */
  readonly #confirmed = new DecayedMean(SPREAD_HALF_LIFE_MS, {
    mean: UNDECIDED,
    weight: PRIOR_SPREAD_FIGURES,
  });
  readonly #steps = new DecayedFit(
    SERVICE_HALF_LIFE_MS,
    PRIOR_BATCHES.map((requests) => ({
      x: requests,
      y: ASSUMED_STEP_MS + ASSUMED_STEP_MS_PER_REQUEST * requests,
      weight: PRIOR_BATCH_WEIGHT,
    })),
  );
  readonly #firstEvents = new DecayedFit(
    SERVICE_HALF_LIFE_MS,
    PRIOR_PROMPTS.map((tokens) => ({
      x: tokens,
      y: ASSUMED_FIRST_EVENT_MS + ASSUMED_MS_PER_TOKEN * tokens,
      weight: PRIOR_PROMPT_WEIGHT * promptWeight(tokens),
    })),
  );
  /** Prompt tokens in a chunk, as a quantile. */
  #chunkTokens = ASSUMED_CHUNK_TOKENS;
  #chunkSeenAt = -Infinity;
  #chunkSteps = 0;
  readonly #runners = new Map<string, RunnerState>();
  /** Responses before the time of work is known. */
  #firstResponses: { readonly runner: string; readonly ms: number }[] = [];
  #model: ServiceModel | undefined;
  #modelAt = NaN;
  readonly #meanSpeed = new ModelSpeed();

  engineSpeed(runner: string | undefined, now: number): EngineSpeed {
    const known = runner === undefined ? undefined : this.#runners.get(runner);
    if (known === undefined) {
      this.#meanSpeed.set(this.#modelOf(now), 1, 1);
      return this.#meanSpeed;
    }
    if (isCurrent(known.speedAt, now, ESTIMATE_MS)) return known.speed;
    const factor = this.#factorOf(known, now, now);
    known.speed.set(this.#modelOf(now), factor, known.lasting);
    known.speedAt = now;
    return known.speed;
  }

  prefillMs(runner: string, tokens: number, now: number): number {
    return this.engineSpeed(runner, now).prefillMs(tokens);
  }

  chunkStepMs(runner: string | undefined, now: number): number {
    return this.engineSpeed(runner, now).chunkStepMs;
  }

  responseMs(runner: string, now: number): number | undefined {
    const { responseMs } = this.#modelOf(now);
    return responseMs && responseMs * this.#factor(runner, now, now);
  }

  slowMomentFactor(now: number): number {
    return this.#modelOf(now).slowMomentFactor;
  }

  get knowsChunkSteps(): boolean {
    return this.#chunkSteps >= MIN_CHUNK_STEPS;
  }

  /** Duration in ms of a step without prefill, by requests in the batch. */
  stepMs(runner: string, requests: number, now: number): number {
    const { stepMs, stepMsPerRequest } = this.#modelOf(now);
    return (stepMs + stepMsPerRequest * requests) *
      this.#factor(runner, now, now);
  }

  /**
   * Records the first event of a stream.
   *
   * @returns what was added to the runner's sums.
   */
  recordFirstEvent(
    runner: string,
    { ms, tokens, now }: FirstEvent,
  ): PaceSums | undefined {
    if (!isDuration(ms) || !(tokens >= 0)) return undefined;
    const { firstEventMs, msPerPromptToken } = this.#modelOf(now);
    const factor = this.#factor(runner, now - ms / 2, now);
    const offsetMs = factor * firstEventMs;
    const expectedMs = offsetMs + factor * msPerPromptToken * tokens;
    const seenMs = limit(ms, expectedMs, MAX_DEVIATION);
    this.#judge(runner, ms / expectedMs, now - ms / 2, now);
    this.#firstEvents.record({
      x: tokens,
      y: seenMs / factor,
      weight: promptWeight(tokens),
    }, now);
    if (tokens < MIN_PROMPT_TOKENS) return undefined;
    const promptMs = Math.max(seenMs - offsetMs, MIN_PROMPT_SHARE * seenMs);
    const weight = weightOf(expectedMs - offsetMs);
    return this.#add(runner, {
      ...NO_SUMS,
      promptMs: weight * promptMs,
      promptTokens: weight * tokens,
    }, now);
  }

  /**
   * Records the time between two events of a stream: of steps without prefill, if
   * no prompt awaited any.
   *
   * @returns what was added to the runner's sums.
   */
  recordGap(runner: string, gap: EventGap): PaceSums | undefined {
    const { ms, tokens, requests, unreadBefore, unreadAfter, now } = gap;
    if (!isDuration(ms) || !(tokens > 0)) return undefined;
    const at = now - ms / 2;
    const factor = this.#factor(runner, at, now);
    const model = this.#modelOf(now);
    const stepMs = factor * (model.stepMs + model.stepMsPerRequest * requests);
    if (unreadBefore === 0 && unreadAfter === 0) {
      const expectedMs = tokens * stepMs;
      const seenMs = clamp(
        ms,
        expectedMs / MAX_DEVIATION,
        expectedMs * MAX_STEP_EXCESS,
      );
      this.#judge(runner, ms / expectedMs, at, now);
      this.#steps.record({
        x: requests,
        y: seenMs / tokens / factor,
        weight: 1,
      }, now);
      const weight = weightOf(expectedMs);
      return this.#add(runner, {
        ...NO_SUMS,
        stepMs: weight * seenMs,
        stepTokens: weight * tokens,
        stepRequests: weight * tokens * requests,
      }, now);
    }
    const msPerPromptToken = factor * model.msPerPromptToken;
    this.#recordChunk(ms / tokens / msPerPromptToken, now);
    return undefined;
  }

  /**
   * Records a response of a plain runner. One that waited in the runner's queue
   * counts less, and none that waited for long unless there is no other.
   *
   * @returns what was added to the runner's sums.
   */
  recordResponse(
    runner: string,
    { ms, ahead, slots, now }: PlainResponse,
  ): PaceSums | undefined {
    if (!isDuration(ms)) return undefined;
    const waits = Math.max(0, ahead + 1 - slots) / Math.max(1, slots);
    const { responseMs } = this.#modelOf(now);
    const workMs = ms / (1 + waits);
    if (responseMs === undefined) {
      return this.#recordFirstResponse(runner, workMs, now);
    }
    if (waits > MAX_WAIT && this.#sums.at(now).responses >= 1) return undefined;
    const at = now - ms / 2;
    const expectedMs = responseMs * this.#factor(runner, at, now);
    this.#judge(runner, workMs / expectedMs, at, now);
    const weight = weightOf(expectedMs) * (waits === 0 ? 1 : WAITED_WEIGHT);
    return this.#add(runner, {
      ...NO_SUMS,
      responseMs: weight * limit(workMs, expectedMs, MAX_DEVIATION),
      responses: weight,
    }, now);
  }

  /** Applies what other daemons added to the sums of a runner. */
  apply(runner: string, change: PaceSums, now: number): void {
    this.#add(runner, change, now);
  }

  /**
   * Records how long work takes on a runner's host at a time, relative to the
   * usual time, as the runner stated it.
   *
   * @returns whether no later figure was known.
   */
  recordStated(runner: string, work: number, at: number): boolean {
    const known = this.#stateOf(runner);
    if (!known.stated.record(work, at)) return false;
    this.#statedWork.record(work, 1, at);
    known.speedAt = NaN;
    known.statedAt = NaN;
    return true;
  }

  /**
   * Records a figure in the spread of those of all runners. Only those in this
   * daemon's responses may count: unusual ones of others are sent more often.
   */
  recordSpread(runner: string, work: number, now: number): void {
    const { stated } = this.#stateOf(runner);
    if (stated.trust(now) < TRUSTED) return;
    const mean = stated.mean(this.#modelOf(now).statedWork, now);
    this.#spread.record((work / mean) ** 2, 1, now);
  }

  /** Estimated time of work relative to the service's mean, without moments. */
  lastingFactor(runner: string, now: number): number {
    const known = this.#runners.get(runner);
    return known === undefined ? 1 : this.#lasting(known, now);
  }

  /** Whether a runner's last stated figure differs from its mean. */
  hasUnusualFigure(runner: string, now: number): boolean {
    const known = this.#runners.get(runner);
    if (known === undefined) return false;
    const ratio = known.stated.work /
      known.stated.mean(this.#modelOf(now).statedWork, now);
    return ratio > UNUSUAL_FACTOR || ratio < 1 / UNUSUAL_FACTOR;
  }

  /** Estimates of all observed runners. */
  samples(now: number): readonly PaceSample[] {
    return [...this.#runners].map(([runner, known]) => ({
      runner,
      factor: this.#lasting(known, now),
    }));
  }

  /**
   * Deletes runners that are not listed; one that starts again has another id.
   */
  retain(ids: ReadonlySet<string>): void {
    for (const id of this.#runners.keys()) {
      if (!ids.has(id)) this.#runners.delete(id);
    }
  }

  /**
   * Starts from the median of the first responses: the first one alone may have
   * been delayed by seconds.
   */
  #recordFirstResponse(
    runner: string,
    ms: number,
    now: number,
  ): PaceSums | undefined {
    this.#firstResponses.push({ runner, ms });
    if (this.#firstResponses.length < MIN_RESPONSES) return undefined;
    const sorted = [...this.#firstResponses].sort((one, other) =>
      one.ms - other.ms
    );
    const median = sorted[Math.floor(sorted.length / 2)]!.ms;
    this.#firstResponses = [];
    this.#modelAt = NaN;
    return this.#add(runner, {
      ...NO_SUMS,
      responseMs: MIN_RESPONSES * median,
      responses: MIN_RESPONSES,
    }, now);
  }

  #add(runner: string, change: PaceSums, now: number): PaceSums {
    const known = this.#stateOf(runner);
    this.#sums.add(change, now);
    known.sums.add(change, now);
    known.observedAt = now;
    return change;
  }

  /** @param tokens prompt tokens that would take as long as the step. */
  #recordChunk(tokens: number, now: number): void {
    if (now - this.#chunkSeenAt < CHUNK_INTERVAL_MS) return;
    this.#chunkSteps += 1;
    this.#chunkSeenAt = now;
    const longer = tokens > this.#chunkTokens;
    const change = CHUNK_GAIN *
      (longer ? CHUNK_QUANTILE : CHUNK_QUANTILE - 1);
    this.#chunkTokens = clamp(
      this.#chunkTokens * Math.exp(change),
      MIN_CHUNK_TOKENS,
      MAX_CHUNK_TOKENS,
    );
  }

  /** Compares an observation with the figure that was stated near its time. */
  #judge(runner: string, observed: number, at: number, now: number): void {
    const known = this.#runners.get(runner);
    if (known === undefined || known.stated.freshness(at) === 0) return;
    this.#refreshStated(known, now);
    if (known.statedTrust === 0) return;
    const { stated, statedMean } = known;
    const current = this.#factorOf(known, at, now) / this.#lasting(known, now);
    const near = stated.judge(
      observed * current,
      stated.work / statedMean,
      now,
    );
    known.statedAt = NaN;
    if (near !== undefined) this.#confirmed.record(near ? 1 : 0, 1, now);
  }

  /** Time of work at `at` relative to the service's mean. */
  #factor(runner: string, at: number, now: number): number {
    const known = this.#runners.get(runner);
    return known === undefined ? 1 : this.#factorOf(known, at, now);
  }

  #factorOf(known: RunnerState, at: number, now: number): number {
    const lasting = this.#lasting(known, now);
    const freshness = known.stated.freshness(at);
    if (freshness === 0) return lasting;
    this.#refreshStated(known, now);
    const ratio = known.stated.work / known.statedMean;
    return bound(lasting * ratio ** (freshness * known.statedTrust));
  }

  #lasting(known: RunnerState, now: number): number {
    const observed = known.observedAt > known.lastingAt - ESTIMATE_MS;
    const keptMs = observed ? ESTIMATE_MS : UNOBSERVED_MS;
    if (isCurrent(known.lastingAt, now, keptMs)) return known.lasting;
    this.#refreshStated(known, now);
    const model = this.#modelOf(now);
    const sums = known.sums.at(now);
    known.lasting = bound(
      (known.priorMs + observedMs(sums)) / (PRIOR_MS + expectedMs(model, sums)),
    );
    known.lastingAt = now;
    return known.lasting;
  }

  #refreshStated(known: RunnerState, now: number): void {
    if (isCurrent(known.statedAt, now, UNOBSERVED_MS)) return;
    const { statedWork } = this.#modelOf(now);
    known.statedMean = known.stated.mean(statedWork, now);
    known.statedTrust = known.stated.trust(now);
    known.priorMs = PRIOR_MS *
      (known.statedMean / statedWork) ** known.statedTrust;
    known.statedAt = now;
  }

  #modelOf(now: number): ServiceModel {
    const known = this.#model;
    if (known !== undefined && isCurrent(this.#modelAt, now, ESTIMATE_MS)) {
      return known;
    }
    const sums = this.#sums.at(now);
    const { slope } = this.#steps.line(now);
    const stepMsPerRequest = clamp(slope, 0, MAX_STEP_MS_PER_REQUEST);
    const { intercept } = this.#firstEvents.line(now);
    const msPerPromptToken =
      (sums.promptMs + PRIOR_PROMPT_TOKENS * ASSUMED_MS_PER_TOKEN) /
      (sums.promptTokens + PRIOR_PROMPT_TOKENS);
    const stepMs = (sums.stepMs - stepMsPerRequest * sums.stepRequests +
      PRIOR_STEPS * ASSUMED_STEP_MS) / (sums.stepTokens + PRIOR_STEPS);
    const variance = Math.max(0, this.#spread.mean(now) - 1);
    const slowMomentFactor = this.#confirmed.mean(now) >= UNDECIDED
      ? 1 + SLOW_MOMENT_DEVIATIONS * Math.sqrt(variance)
      : 1;
    this.#model = {
      msPerPromptToken,
      firstEventMs: clamp(intercept, 0, MAX_FIRST_EVENT_MS),
      stepMs: Math.max(MIN_STEP_MS, stepMs),
      stepMsPerRequest,
      chunkStepMs: this.#chunkTokens * msPerPromptToken,
      responseMs: sums.responses > 0
        ? sums.responseMs / sums.responses
        : undefined,
      statedWork: this.#statedWork.mean(now),
      slowMomentFactor,
      eventMargin: this.knowsChunkSteps
        ? slowMomentFactor
        : Math.max(slowMomentFactor, UNKNOWN_STEP_FACTOR),
    };
    this.#modelAt = now;
    return this.#model;
  }

  #stateOf(runner: string): RunnerState {
    const known = this.#runners.get(runner);
    if (known !== undefined) return known;
    const state = {
      sums: new DecayedSums(RUNNER_HALF_LIFE_MS),
      stated: new StatedWork(),
      speed: new ModelSpeed(),
      speedAt: NaN,
      lasting: 1,
      lastingAt: NaN,
      observedAt: -Infinity,
      statedMean: 1,
      statedTrust: 1,
      priorMs: PRIOR_MS,
      statedAt: NaN,
    };
    this.#runners.set(runner, state);
    return state;
  }
}

/** Time in ms that a mean runner takes for the work in the sums. */
function expectedMs(model: ServiceModel, sums: PaceSums): number {
  return model.msPerPromptToken * sums.promptTokens +
    model.stepMs * sums.stepTokens +
    model.stepMsPerRequest * sums.stepRequests +
    (model.responseMs ?? 0) * sums.responses;
}

/** Whether an estimate is used as it is. */
function isCurrent(at: number, now: number, keptMs: number): boolean {
  return Math.abs(now - at) < keptMs;
}

/** Weight of a first event in the fit, by the prompt tokens before it. */
function promptWeight(tokens: number): number {
  return 1 / (1 + tokens / PROMPT_WEIGHT_TOKENS) ** 2;
}

/** Weight by which an observation of long work counts like one of short work. */
function weightOf(expectedMs: number): number {
  return Math.min(1, MAX_OBSERVATION_MS / expectedMs);
}

function isDuration(ms: number): boolean {
  return ms > 0 && ms < Infinity;
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

/** Limits an observation to a factor around the value that was expected. */
function limit(value: number, expected: number, deviation: number): number {
  return clamp(value, expected / deviation, expected * deviation);
}

function bound(factor: number): number {
  return clamp(factor, MIN_FACTOR, MAX_FACTOR);
}
