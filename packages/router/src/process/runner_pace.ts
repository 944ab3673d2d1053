/**
 * Speed of runners, from which the duration of work is estimated.
 *
 * @module
 */

/**
 * Speed of one engine at the time for which it was asked. It may change when the
 * pace is asked for a later time.
 */
export interface EngineSpeed {
  /** Milliseconds in which the engine prefills a number of prompt tokens. */
  prefillMs(tokens: number): number;
  /** Duration in ms of a step that includes a chunk of a prompt. */
  readonly chunkStepMs: number;
  /**
   * Time in ms of an event of a stream beside prompts, by the lasting speed of the
   * engine and in a slow moment of its host; absent where none is observed.
   */
  eventMs?(event: EventLoad): number;
}

/** What an engine does while a stream waits for its next event. */
export interface EventLoad {
  /** Tokens of the event. */
  readonly tokens: number;
  /** Requests at the engine. */
  readonly requests: number;
  /** Prompt tokens that await prefill. */
  readonly unreadTokens: number;
}

/** Estimates how long the runners of one service take for their work. */
export interface RunnerPace {
  /**
   * Speed of an engine, for several estimates at the same time.
   *
   * @param runner id of the runner; undefined for the mean of the service.
   */
  engineSpeed(runner: string | undefined, now: number): EngineSpeed;
  /** Milliseconds in which a runner prefills a number of prompt tokens. */
  prefillMs(runner: string, tokens: number, now: number): number;
  /**
   * Duration in ms of an engine step that includes a chunk of a prompt.
   *
   * @param runner id of the runner; undefined for the mean of the service.
   */
  chunkStepMs(runner: string | undefined, now: number): number;
  /**
   * Milliseconds that a runner of a plain service works on one request, without
   * the time in its queue; undefined while unknown.
   */
  responseMs(runner: string, now: number): number | undefined;
  /**
   * Factor by which work takes longer in slow moments of the hosts of runners;
   * absent where none are known.
   */
  slowMomentFactor?(now: number): number;
  /**
   * Whether enough steps with a chunk were observed to tell which streams they
   * disturb; absent where no steps are observed.
   */
  readonly knowsChunkSteps?: boolean;
  /**
   * Time of a runner's work relative to the mean of the service, without the
   * moments of its host; absent where none is observed.
   */
  lastingFactor?(runner: string, now: number): number;
}

/**
 * Prompt tokens that an engine prefills per ms, beside its other work, where
 * nothing is observed. Costs and bounds in ms were chosen at this pace.
 */
export const PREFILL_TOKENS_PER_MS = 50;
/**
 * Duration in ms of an engine step that includes a chunk of a prompt: 2,048
 * tokens at 62 tokens per ms, plus attention to the tokens prefilled before.
 */
const CHUNK_STEP_MS = 40;

/**
 * The same pace for all runners of any service, where runners are not observed.
 */
class AssumedPace implements RunnerPace {
  readonly #speed: EngineSpeed = {
    prefillMs: (tokens) => tokens / PREFILL_TOKENS_PER_MS,
    chunkStepMs: CHUNK_STEP_MS,
  };

  engineSpeed(): EngineSpeed {
    return this.#speed;
  }

  prefillMs(_runner: string, tokens: number): number {
    return tokens / PREFILL_TOKENS_PER_MS;
  }

  chunkStepMs(): number {
    return CHUNK_STEP_MS;
  }

  responseMs(): undefined {
    return undefined;
  }
}

/** The pace that is assumed for all runners of a service that is not observed. */
export const ASSUMED_PACE: RunnerPace = new AssumedPace();
