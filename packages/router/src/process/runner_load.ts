/**
 * What this daemon knows about the load of one runner.
 *
 * @module
 */
import { FailureRate } from "./failure_rate.ts";
import { prefillMs } from "./prefill_time.ts";
import { RunnerQueue } from "./runner_queue.ts";
import type { NeighbourFilter, WaitingEntry } from "./runner_queue.ts";
import { addLoads, NO_LOAD, subtractLoads } from "./load_totals.ts";
import type { LoadTotals, ResponseCounts } from "./load_totals.ts";

/** Load of a runner as it told with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** A request of this daemon that is at a runner. */
export interface PlacedRequest {
  /** Prompt tokens that the runner has to read, as estimated. */
  readonly unreadTokens: number;
  /** Tokens of its prompt and of the longest answer. */
  readonly memoryTokens: number;
  /** Whether it is a stream that bears only short pauses. */
  readonly tight: boolean;
}

/** Failures in a row after which a runner gets no work for a while. */
const FAILURES_TO_EJECT = 2;
/** First span without work, in ms; doubled at each further failure. */
const FIRST_EJECTION_MS = 500;
/** Longest span, so that a runner that recovers is found within it. */
const LONGEST_EJECTION_MS = 4_000;
/**
 * Milliseconds without a word on any request that is at a runner, after which
 * it is taken to be dark. Runners with a stream send an event each 30 to 250 ms,
 * and plain services answer within 450. Where no stream has begun, the time for
 * the prompts that are to be read there is added.
 */
const SILENCE_MS = 900;
/** Age in ms at which a reported load says nothing more. */
const REPORT_LIFE_MS = 1_000;

/** One runner as this daemon sees it. */
export class RunnerLoad {
  readonly #placed = new Set<PlacedRequest>();
  readonly #starting = new Set<PlacedRequest>();
  /** Loads of other daemons, by the neighbour that tells their sum. */
  readonly #others = new Map<string, LoadTotals>();
  /** Counts of answers as the neighbours told them last. */
  readonly #told = new Map<string, ResponseCounts>();
  readonly #onChange: () => void;
  /** Requests that wait until the runner has room, here and elsewhere. */
  readonly queue: RunnerQueue;
  #own = NO_LOAD;
  #all = NO_LOAD;
  #failures = 0;
  readonly #failureRate = new FailureRate();
  #ejectedUntil = 0;
  #report: ReportedLoad | undefined;
  #reportedAt = -Infinity;
  /** When the runner last said anything, or got work after having had none. */
  #heardAt = 0;

  /** @param onChange called when the load that this daemon puts on it changes. */
  constructor(onChange: () => void = () => {}) {
    this.#onChange = onChange;
    this.queue = new RunnerQueue(onChange);
  }

  /** Load of this daemon. */
  get own(): LoadTotals {
    return this.#own;
  }

  /** Load of all daemons, as far as they have told. */
  get total(): LoadTotals {
    return this.#all;
  }

  /** Load of this daemon and, as some neighbours told, of others. */
  sumFrom(counts: NeighbourFilter): LoadTotals {
    let sum = this.#own;
    for (const [neighbour, share] of this.#others) {
      if (counts(neighbour)) sum = addLoads(sum, share);
    }
    return sum;
  }

  /** Whether a neighbour tells of load, now or before. */
  hasLoadFrom(neighbour: string): boolean {
    return this.#others.has(neighbour);
  }

  /** Failures since the last success. */
  get failures(): number {
    return this.#failures;
  }

  /** Counts a request that is about to be sent. */
  place(placed: PlacedRequest, now: number): void {
    if (this.#own.inFlight === 0) this.#heardAt = now;
    this.#placed.add(placed);
    this.#starting.add(placed);
    this.#change({
      ...NO_LOAD,
      inFlight: 1,
      unreadTokens: placed.unreadTokens,
      workTokens: placed.unreadTokens,
      memoryTokens: placed.memoryTokens,
      tight: placed.tight ? 1 : 0,
    });
  }

  /** Its prompt has been read: the first event came. */
  recordFirstEvent(placed: PlacedRequest): void {
    if (!this.#starting.delete(placed)) return;
    this.#change({ ...NO_LOAD, unreadTokens: -placed.unreadTokens });
  }

  /** Something came from the runner, whatever it was. */
  recordActivity(now: number): void {
    this.#heardAt = Math.max(this.#heardAt, now);
  }

  /** It is no longer at the runner. */
  release(placed: PlacedRequest): void {
    this.recordFirstEvent(placed);
    if (!this.#placed.delete(placed)) return;
    this.#change({
      ...NO_LOAD,
      inFlight: -1,
      workTokens: -placed.unreadTokens,
      memoryTokens: -placed.memoryTokens,
      tight: placed.tight ? -1 : 0,
    });
  }

  /**
   * Takes what other daemons have at the runner, and what waits there for them,
   * as a neighbour adds it up. A prompt that has been read for another daemon
   * shows that the runner works.
   */
  setNeighbourLoad(
    neighbour: string,
    share: LoadTotals,
    told: {
      /** Steady milliseconds. */
      readonly now: number;
      readonly waiting?: readonly WaitingEntry[];
    },
  ): void {
    const { now, waiting = [] } = told;
    const before = this.#others.get(neighbour) ?? NO_LOAD;
    const began = share.unreadTokens < before.unreadTokens &&
      share.inFlight >= before.inFlight;
    if (began) this.recordActivity(now);
    const { answered, failed } = this.#newAnswers(neighbour, share);
    if (answered > 0) this.#failureRate.record(answered, failed, now);
    const after = {
      ...share,
      answered: before.answered + answered,
      failed: before.failed + failed,
    };
    this.#others.set(neighbour, after);
    this.queue.setNeighbourEntries(neighbour, waiting);
    this.#all = addLoads(this.#all, subtractLoads(after, before));
  }

  /**
   * Forgets a neighbour that cannot be heard any more.
   *
   * @returns whether it had told anything.
   */
  removeNeighbour(neighbour: string): boolean {
    const share = this.#others.get(neighbour);
    if (share === undefined) return false;
    this.#others.delete(neighbour);
    this.#told.delete(neighbour);
    this.queue.setNeighbourEntries(neighbour, []);
    this.#all = subtractLoads(this.#all, share);
    return true;
  }

  /**
   * Answers since the neighbour told last. When daemons that it speaks for come
   * or go its counts jump; of those that come it is not known when they had
   * their answers, so none counts that was there at the first word.
   */
  #newAnswers(neighbour: string, share: LoadTotals): ResponseCounts {
    const told = this.#told.get(neighbour) ?? share;
    this.#told.set(neighbour, {
      answered: share.answered,
      failed: share.failed,
    });
    const answered = Math.max(0, share.answered - told.answered);
    const failed = Math.max(0, share.failed - told.failed);
    return { answered, failed: Math.min(answered, failed) };
  }

  /** Takes the load that the runner told with an answer. */
  recordReport(load: ReportedLoad, now: number): void {
    this.#report = load;
    this.#reportedAt = now;
  }

  /** Requests at the runner, as far as known. */
  requestCount(now: number): number {
    const report = this.#freshReport(now);
    if (report === undefined) return this.#all.inFlight;
    return Math.max(this.#all.inFlight, report.running + report.waiting);
  }

  /** Part of the whole answers to all daemons that were failures lately. */
  failureRate(now: number): number {
    return this.#failureRate.rate(now);
  }

  /** A whole answer came; it may be a failure of the runner's own. */
  recordResponse(failed: boolean, now: number): void {
    const count = failed ? 1 : 0;
    this.#failureRate.record(1, count, now);
    this.#change({ ...NO_LOAD, answered: 1, failed: count });
  }

  /** An answer came that shows that the runner works. */
  recordSuccess(): void {
    this.#failures = 0;
    this.#ejectedUntil = 0;
  }

  /**
   * The runner did not answer or broke off. After some in a row it gets no work
   * for a while: a dark runner would otherwise hold every request of its share
   * until a timeout. The span is short, so a false alarm costs little.
   */
  recordFailure(now: number): void {
    this.#failures += 1;
    if (this.#failures < FAILURES_TO_EJECT) return;
    const doublings = this.#failures - FAILURES_TO_EJECT;
    const span = Math.min(
      LONGEST_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** doublings,
    );
    this.#ejectedUntil = now + span;
  }

  /**
   * Whether the runner is left out for now: it rests after failures, or says
   * nothing on all that is there. What is there goes on, as silence alone is no
   * reason to break it off; but more requests would only wait beside it.
   */
  isEjected(now: number): boolean {
    if (now < this.#ejectedUntil) return true;
    return this.#own.inFlight > 0 && now - this.#heardAt > this.#silenceMs();
  }

  /**
   * How long a sound runner may say nothing. A fixed time would call runners
   * dark that are reading: with one or two requests at each of 98 runners and a
   * second of prompts ahead of them, a daemon left 7 out at any moment, and had
   * the prompts that they hold read again elsewhere.
   */
  #silenceMs(): number {
    const begun = this.#placed.size > this.#starting.size;
    return SILENCE_MS + (begun ? 0 : prefillMs(this.#all.unreadTokens));
  }

  #change(change: LoadTotals): void {
    this.#own = addLoads(this.#own, change);
    this.#all = addLoads(this.#all, change);
    this.#onChange();
  }

  #freshReport(now: number): ReportedLoad | undefined {
    return now - this.#reportedAt < REPORT_LIFE_MS ? this.#report : undefined;
  }
}
