/**
 * Load and health of one runner, as this daemon sees them.
 *
 * @module
 */
import { FailureRate } from "./failure_rate.ts";
import { RunnerQueue } from "./runner_queue.ts";
import type { NeighbourFilter, WaitingEntry } from "./runner_queue.ts";
import { addLoads, NO_LOAD, subtractLoads } from "./load_totals.ts";
import type { LoadTotals, ResponseCounts } from "./load_totals.ts";

/** Load that a runner reports in the headers of a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the runner's host at the moment, in hundredths of
   * the usual time; NaN if what it states is no number. Absent if it states
   * none.
   */
  readonly workHundredths?: number | undefined;
}

/** A request that this daemon has sent to a runner. */
export interface PlacedRequest {
  /** Estimated prompt tokens that the runner has to prefill. */
  readonly unreadTokens: number;
  /** Tokens of the prompt plus the longest possible response. */
  readonly memoryTokens: number;
  /** Whether it is a stream with a tight event-gap target. */
  readonly tight: boolean;
}

/**
 * Consecutive failures after which a runner is ejected: it gets no new requests for
 * a while.
 */
const FAILURES_TO_EJECT = 2;
/** Duration of the first ejection in ms; doubled at each further failure. */
const INITIAL_EJECTION_MS = 500;
/** Longest ejection in ms, which bounds how late a recovery is noticed. */
const MAX_EJECTION_MS = 4_000;
/**
 * Milliseconds without any data on any request in flight after which a runner
 * is considered unresponsive. Runners send an event every 30 to 250 ms on a
 * stream, and plain services respond within 450 ms. While no stream has begun,
 * the time for prefilling the queued prompts is added.
 */
const SILENCE_TIMEOUT_MS = 900;
/** Age in ms at which a load report expires. */
const REPORT_TTL_MS = 1_000;

/**
 * Tracks the load that all daemons put on one runner, its queue, and whether it
 * is ejected after failures or silence.
 */
export class RunnerLoad {
  readonly #inFlight = new Set<PlacedRequest>();
  readonly #prefilling = new Set<PlacedRequest>();
  /** Loads of other daemons, keyed by the neighbour that reports their sum. */
  readonly #neighbourLoads = new Map<string, LoadTotals>();
  /** Last reported response counts, by neighbour. */
  readonly #reportedCounts = new Map<string, ResponseCounts>();
  readonly #onChange: () => void;
  /**
   * Requests that wait for capacity of the runner, at this and other daemons.
   */
  readonly queue: RunnerQueue;
  #own = NO_LOAD;
  #total = NO_LOAD;
  #failures = 0;
  readonly #failureRate = new FailureRate();
  #ejectedUntil = 0;
  #report: ReportedLoad | undefined;
  #reportedAt = -Infinity;
  /** Requests in the report of which no daemon had told this one. */
  #unknownRequests = 0;
  /** When the runner last sent any data, or got work after having been idle. */
  #lastActivityAt = 0;

  /**
   * @param onChange called when this daemon's own load on the runner changes.
   */
  constructor(onChange: () => void = () => {}) {
    this.#onChange = onChange;
    this.queue = new RunnerQueue(onChange);
  }

  /** Load from this daemon. */
  get own(): LoadTotals {
    return this.#own;
  }

  /** Load from all daemons, as far as it has been reported. */
  get total(): LoadTotals {
    return this.#total;
  }

  /**
   * Sum of this daemon's load and the loads reported by accepted neighbours.
   */
  sumFrom(accepts: NeighbourFilter): LoadTotals {
    let sum = this.#own;
    for (const [neighbour, load] of this.#neighbourLoads) {
      if (accepts(neighbour)) sum = addLoads(sum, load);
    }
    return sum;
  }

  /** Whether a neighbour has ever reported load on this runner. */
  hasLoadFrom(neighbour: string): boolean {
    return this.#neighbourLoads.has(neighbour);
  }

  /** Consecutive failures since the last success. */
  get failures(): number {
    return this.#failures;
  }

  /** Adds a request that is about to be sent. */
  place(placed: PlacedRequest, now: number): void {
    if (this.#own.inFlight === 0) this.#lastActivityAt = now;
    this.#inFlight.add(placed);
    this.#prefilling.add(placed);
    this.#change({
      ...NO_LOAD,
      inFlight: 1,
      unreadTokens: placed.unreadTokens,
      workTokens: placed.unreadTokens,
      memoryTokens: placed.memoryTokens,
      tightStreams: placed.tight ? 1 : 0,
    });
  }

  /** Records the first event of a response, which ends the prompt's prefill. */
  recordFirstEvent(placed: PlacedRequest): void {
    if (!this.#prefilling.delete(placed)) return;
    this.#change({ ...NO_LOAD, unreadTokens: -placed.unreadTokens });
  }

  /** Records that any data arrived from the runner. */
  recordActivity(now: number): void {
    this.#lastActivityAt = Math.max(this.#lastActivityAt, now);
  }

  /** Removes a request that is no longer at the runner. */
  release(placed: PlacedRequest): void {
    this.recordFirstEvent(placed);
    if (!this.#inFlight.delete(placed)) return;
    this.#change({
      ...NO_LOAD,
      inFlight: -1,
      workTokens: -placed.unreadTokens,
      memoryTokens: -placed.memoryTokens,
      tightStreams: placed.tight ? -1 : 0,
    });
  }

  /**
   * Replaces the load and the waiting requests of other daemons, as summed up
   * by a neighbour. A completed prefill for another daemon counts as activity
   * of the runner.
   */
  setNeighbourLoad(
    neighbour: string,
    load: LoadTotals,
    update: {
      /** Monotonic time in ms. */
      readonly now: number;
      readonly waiting?: readonly WaitingEntry[];
    },
  ): void {
    const { now, waiting = [] } = update;
    const before = this.#neighbourLoads.get(neighbour) ?? NO_LOAD;
    const prefilled = load.unreadTokens < before.unreadTokens &&
      load.inFlight >= before.inFlight;
    if (prefilled) this.recordActivity(now);
    const { answered, failed } = this.#newResponses(neighbour, load);
    if (answered > 0) this.#failureRate.record(answered, failed, now);
    const after = {
      ...load,
      answered: before.answered + answered,
      failed: before.failed + failed,
    };
    this.#neighbourLoads.set(neighbour, after);
    this.queue.setNeighbourEntries(neighbour, waiting);
    this.#total = addLoads(this.#total, subtractLoads(after, before));
  }

  /**
   * Discards the load reported by a neighbour whose link is lost.
   *
   * @returns whether the neighbour had reported any load.
   */
  removeNeighbour(neighbour: string): boolean {
    const load = this.#neighbourLoads.get(neighbour);
    if (load === undefined) return false;
    this.#neighbourLoads.delete(neighbour);
    this.#reportedCounts.delete(neighbour);
    this.queue.setNeighbourEntries(neighbour, []);
    this.#total = subtractLoads(this.#total, load);
    return true;
  }

  /**
   * Responses since the neighbour's previous report. Its counts jump when
   * daemons that it reports for join or leave. It is unknown when daemons that
   * join had their responses, so the counts of a first report are only a
   * baseline.
   */
  #newResponses(neighbour: string, load: LoadTotals): ResponseCounts {
    const before = this.#reportedCounts.get(neighbour) ?? load;
    this.#reportedCounts.set(neighbour, {
      answered: load.answered,
      failed: load.failed,
    });
    const answered = Math.max(0, load.answered - before.answered);
    const failed = Math.max(0, load.failed - before.failed);
    return { answered, failed: Math.min(answered, failed) };
  }

  /** Records the load that the runner reported with a response. */
  recordReport(load: ReportedLoad, now: number): void {
    this.#report = load;
    this.#reportedAt = now;
    const { running, waiting } = load;
    const unknown = running + waiting - this.#total.inFlight;
    this.#unknownRequests = Math.max(0, unknown);
  }

  /**
   * Requests at the runner, from daemons' loads and its own fresh report.
   *
   * @param reportTtlMs age at which a report expires.
   */
  requestCount(now: number, reportTtlMs = REPORT_TTL_MS): number {
    const report = this.#freshReport(now, reportTtlMs);
    if (report === undefined) return this.#total.inFlight;
    return Math.max(this.#total.inFlight, report.running + report.waiting);
  }

  /**
   * Requests at the runner that its fresh report counted beyond the loads of
   * daemons that were known at that moment.
   */
  unknownRequests(now: number): number {
    const report = this.#freshReport(now, REPORT_TTL_MS);
    return report === undefined ? 0 : this.#unknownRequests;
  }

  /**
   * Recent fraction of complete responses, to all daemons, that were failures.
   */
  failureRate(now: number): number {
    return this.#failureRate.rate(now);
  }

  /** Records a complete response, which may report a failure of the runner. */
  recordResponse(failed: boolean, now: number): void {
    const count = failed ? 1 : 0;
    this.#failureRate.record(1, count, now);
    this.#change({ ...NO_LOAD, answered: 1, failed: count });
  }

  /** Records a response that shows that the runner works; ends an ejection. */
  recordSuccess(): void {
    this.#failures = 0;
    this.#ejectedUntil = 0;
  }

  /**
   * Records that the runner did not respond or interrupted a response. Consecutive failures
   * eject it for a while, since an unresponsive runner would hold each of its
   * requests until a time-out. Ejections are short, so a false alarm costs
   * little.
   */
  recordFailure(now: number): void {
    this.#failures += 1;
    if (this.#failures < FAILURES_TO_EJECT) return;
    const doublings = this.#failures - FAILURES_TO_EJECT;
    const span = Math.min(
      MAX_EJECTION_MS,
      INITIAL_EJECTION_MS * 2 ** doublings,
    );
    this.#ejectedUntil = now + span;
  }

  /**
   * Whether the runner gets no new requests for now: it is ejected after
   * failures, or sends no data on any request in flight. Requests in flight
   * continue, as silence alone is no reason to abort them, but new ones would
   * only wait beside them.
   *
   * @param backlogMs time in which the runner prefills the queued prompts.
   * @param silenceFactor factor by which a slow runner may be silent for longer.
   */
  isEjected(now: number, backlogMs = 0, silenceFactor = 1): boolean {
    if (now < this.#ejectedUntil) return true;
    return this.#own.inFlight > 0 &&
      now - this.#lastActivityAt >
        this.#silenceTimeoutMs(backlogMs, silenceFactor);
  }

  /**
   * Milliseconds for which a healthy runner may send nothing. A fixed time-out
   * would reject runners that are busy with prefill: with one or two requests
   * at each of 98 runners and a second of prompts ahead of them, a daemon left
   * out 7 runners at any moment, and the prompts that those had cached were
   * prefilled again elsewhere.
   */
  #silenceTimeoutMs(backlogMs: number, silenceFactor: number): number {
    const streaming = this.#inFlight.size > this.#prefilling.size;
    return silenceFactor * SILENCE_TIMEOUT_MS +
      (streaming ? 0 : backlogMs);
  }

  #change(change: LoadTotals): void {
    this.#own = addLoads(this.#own, change);
    this.#total = addLoads(this.#total, change);
    this.#onChange();
  }

  #freshReport(now: number, ttlMs: number): ReportedLoad | undefined {
    return now - this.#reportedAt < ttlMs ? this.#report : undefined;
  }
}
