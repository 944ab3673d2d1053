/**
 * Selects the runner for a request, and waits for its capacity.
 *
 * @module
 */
import type { LimitQueue } from "../process/limit_queue.ts";
import type { Runner } from "../process/runner.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import type { Daemon } from "./daemon.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import {
  logCapacityWait,
  logLimitsReached,
  logOverload,
} from "./decision_log.ts";
import { finishesInTime } from "./completion_check.ts";
import { chooseRunner, hasCapacity } from "./placement.ts";
import type { RunnerChoice } from "./placement.ts";
import { CapacityWait } from "./capacity_wait.ts";
import { START_BY_SHARE } from "./request_return.ts";
import type { RequestReturn } from "./request_return.ts";
import { isHopeless } from "./retry_delay.ts";
import { withheldTrials } from "./trial_runners.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { runnersWithMemory } from "./runner_memory.ts";

/**
 * Maximum share of a caller's remaining time for which its request waits for
 * capacity. The rest is for the response: a long one takes 3 s of the 8 s that
 * its callers have.
 */
const MAX_WAIT_SHARE = 0.4;
/**
 * Interval in ms at which a waiting request is evaluated against all runners
 * again. One evaluation takes 55 us with 98 runners, a check of a single runner
 * 0.2 us: 50 waiting requests evaluated every 20 ms would take 14% of a core;
 * every 200 ms they take 1.4%.
 */
const REVIEW_INTERVAL_MS = 200;
/**
 * Minimum review interval as a multiple of the propagation time. A request that
 * changed runners more often would restart its wait each time and never be
 * sent.
 */
const REVIEW_PROPAGATION_FACTOR = 2;
/**
 * Minimum review interval in ms for each request that waits at this daemon,
 * which limits a daemon to 40 reviews a second. Without it, in a burst on 98
 * runners, the 49 requests that waited at a daemon were reviewed 200 times a
 * second and changed runners 119 times; 58 daemons sent each other 14,000
 * changes a second, and daemons with a third of a core still sent requests a
 * second after their callers had disconnected.
 */
const REVIEW_MS_PER_WAITING_REQUEST = 25;

/**
 * Interval in ms between reviews of a request that can no longer start on time.
 * It gets leftover capacity and must not take processor time from other
 * requests.
 */
const LATE_REVIEW_INTERVAL_MS = 1_000;

/**
 * Returns the interval in ms at which a waiting request is evaluated against
 * all runners.
 */
export function reviewIntervalMs(
  waitingCount: number,
  propagationMs: number,
): number {
  return Math.max(
    REVIEW_INTERVAL_MS,
    REVIEW_PROPAGATION_FACTOR * propagationMs,
    REVIEW_MS_PER_WAITING_REQUEST * waitingCount,
  );
}

/** Limits of a search. Times are in monotonic milliseconds. */
export interface SearchLimits {
  /** When the request was received. */
  readonly receivedAt: number;
  /** When the caller gets its final response at the latest. */
  readonly expiresAt: number;
  /** Whether the response is no longer needed. */
  isAbandoned(): boolean;
  /** Whether the route allows another attempt after the next one. */
  attemptsLeft(): boolean;
  /** Absent where the service is not scheduled adaptively. */
  readonly returning?: RequestReturn | undefined;
}

/** Selects runners for one request, one for each attempt. */
export class RunnerSearch {
  readonly #daemon: Daemon;
  readonly #routed: RoutedRequest;
  readonly #limits: SearchLimits;
  #queueKey: QueueKey;

  constructor(daemon: Daemon, routed: RoutedRequest, limits: SearchLimits) {
    this.#daemon = daemon;
    this.#routed = routed;
    this.#limits = limits;
    this.#queueKey = this.#currentKey();
  }

  #currentKey(): QueueKey {
    const { rank, route } = this.#routed;
    const { receivedAt, returning } = this.#limits;
    if (returning !== undefined) return returning.queueKey;
    const startBy = receivedAt + START_BY_SHARE * route.targetMs;
    return { rank, arrivedAt: receivedAt, startBy };
  }

  /**
   * Selects a runner that has not been tried, and counts the request against
   * the runner's rate limit, if it has one. While the best runner lacks
   * capacity, a request that may wait does so for a limited time: most waits end
   * within it, and a refusal costs the caller more.
   *
   * @returns `undefined` when no runner is left, or "overloaded" when no runner has
   * capacity and the request may not wait any longer.
   */
  async find(options: {
    readonly tried: ReadonlySet<string>;
    /** Whether no runner may have run the request. */
    readonly mayWait: boolean;
  }): Promise<RunnerChoice | undefined | "overloaded"> {
    const { tried, mayWait } = options;
    if (!mayWait) return await this.#findMemory(tried);
    const wait = new CapacityWait(this.#queueKey);
    try {
      return await this.#findCapacity(wait, tried);
    } finally {
      wait.end();
      this.#limitQueue.remove(this.#queueKey);
    }
  }

  /** Whether a runner still has memory for the request, if that is bounded. */
  hasMemory({ runner }: RunnerChoice): boolean {
    const fleet = this.#daemon.fleet(this.#routed.service.name);
    return runnersWithMemory(fleet, this.#demand(), [runner]).length > 0;
  }

  /**
   * Selects a runner for another attempt, which does not wait for its turn but for
   * memory where that is bounded.
   */
  async #findMemory(
    tried: ReadonlySet<string>,
  ): Promise<RunnerChoice | undefined | "overloaded"> {
    const waitUntil = this.#waitUntil(this.#daemon.now());
    for (;;) {
      const fleet = this.#daemon.fleet(this.#routed.service.name);
      const { runners } = fleet;
      const fitting = new Set(
        runnersWithMemory(fleet, this.#demand(), runners),
      );
      const full = runners.filter((runner) => !fitting.has(runner));
      const choice = full.length === 0
        ? this.#choose(tried)
        : this.#choose(new Set([...tried, ...full.map(({ id }) => id)]));
      if (choice !== undefined) return this.#countRequest(choice);
      const best = full.length === 0 ? undefined : this.#choose(tried);
      if (best === undefined) return undefined;
      const now = this.#daemon.now();
      if (now > waitUntil || this.#limits.isAbandoned()) {
        logOverload(this.#daemon, this.#routed, {
          choice: best,
          waitedMs: now - this.#limits.receivedAt,
          inTime: true,
        });
        return "overloaded";
      }
      await this.#daemon.sharedTimer.next();
    }
  }

  async #findCapacity(
    wait: CapacityWait,
    tried: ReadonlySet<string>,
  ): Promise<RunnerChoice | undefined | "overloaded"> {
    const { receivedAt, expiresAt } = this.#limits;
    const startedAt = this.#daemon.now();
    for (;;) {
      this.#applyKeyChange(wait);
      const waitUntil = this.#waitUntil(startedAt);
      const choice = this.#choose(tried, wait.runnerId);
      if (choice === undefined || this.#mustYield(choice)) {
        const restricted = this.#restrictedRunners(tried);
        if (restricted.length === 0) return undefined;
        if (!this.#mayWait(restricted, waitUntil)) return "overloaded";
        this.#limitQueue.add(this.#queueKey);
        await this.#daemon.sharedTimer.next();
        continue;
      }
      const now = this.#daemon.now();
      const inTime = this.#finishesInTime(choice, expiresAt - now);
      if (inTime && !choice.overloaded && this.#maySend(wait, choice.runner)) {
        return this.#countRequest(choice);
      }
      const refused = !inTime || now > waitUntil ||
        this.#limits.isAbandoned() || this.#isHopeless(waitUntil - now);
      if (refused) {
        logOverload(this.#daemon, this.#routed, {
          choice,
          waitedMs: now - receivedAt,
          inTime,
        });
        return "overloaded";
      }
      this.#joinQueue(wait, choice);
      await this.#awaitCapacity(wait, choice.runner, waitUntil);
    }
  }

  /**
   * Returns the time until which the request waits for capacity. One that was
   * refused before waits as long as its response can still be complete: its caller
   * does not come back a second time.
   */
  #waitUntil(startedAt: number): number {
    const { expiresAt, returning } = this.#limits;
    if (returning?.place !== undefined) return expiresAt - returning.responseMs;
    const remainingMs = expiresAt - startedAt;
    const { patienceMs } = this.#routed.route;
    return startedAt + MAX_WAIT_SHARE * Math.min(remainingMs, patienceMs);
  }

  /** Whether the request would wait much longer than it may. */
  #isHopeless(waitMs: number): boolean {
    const { returning } = this.#limits;
    if (returning === undefined) return false;
    const outlook = returning.outlook(this.#queueKey);
    const promised = returning.place === undefined ? outlook.promised : 0;
    return isHopeless({ ...outlook, promised }, waitMs);
  }

  /**
   * Queues the request anew if its key changed: its place was used elsewhere, too,
   * or it turns out to have come back before its time.
   */
  #applyKeyChange(wait: CapacityWait): void {
    if (!this.#keyChanged) return;
    this.#limitQueue.remove(this.#queueKey);
    this.#queueKey = this.#currentKey();
    wait.changeKey(this.#queueKey);
  }

  get #keyChanged(): boolean {
    if (this.#limits.returning === undefined) return false;
    const { arrivedAt, startBy } = this.#currentKey();
    return arrivedAt !== this.#queueKey.arrivedAt ||
      startBy !== this.#queueKey.startBy;
  }

  /**
   * Counts the request at the runner before anything else runs:
   * all requests that wait for a runner check at the same moment whether it accepts
   * another one.
   */
  #countRequest(choice: RunnerChoice | undefined): RunnerChoice | undefined {
    if (choice === undefined) return undefined;
    const { restrictions } = this.#daemon;
    restrictions.recordRequest(choice.runner.id, this.#daemon.now());
    return choice;
  }

  get #limitQueue(): LimitQueue {
    return this.#daemon.limitQueue(this.#routed.service.name);
  }

  /** Whether the runner is restricted and another waiting request goes first. */
  #mustYield({ runner }: RunnerChoice): boolean {
    return this.#daemon.restrictions.applyTo(runner.id) &&
      !this.#limitQueue.isFirst(this.#queueKey, this.#daemon.now());
  }

  /** Returns the restricted runners that have not been tried. */
  #restrictedRunners(tried: ReadonlySet<string>): readonly Runner[] {
    const { runners, restrictions } = this.#daemon.fleet(
      this.#routed.service.name,
    );
    return runners.filter(({ id }) =>
      !tried.has(id) && restrictions.applyTo(id)
    );
  }

  /** Whether one of the runners may accept the request before its wait ends. */
  #mayWait(restricted: readonly Runner[], waitUntil: number): boolean {
    const now = this.#daemon.now();
    const { restrictions } = this.#daemon;
    const mayWait = now <= waitUntil && !this.#limits.isAbandoned() &&
      restricted.some(({ id }) =>
        restrictions.mayAllowRequest(id, { now, until: waitUntil })
      );
    if (!mayWait) {
      logLimitsReached(this.#daemon, this.#routed, {
        restricted,
        waitedMs: now - this.#limits.receivedAt,
      });
    }
    return mayWait;
  }

  /**
   * Whether the response would be complete before the caller's time-out. A response
   * that would not is prefilled and generated in vain, and slows down the others.
   */
  #finishesInTime(choice: RunnerChoice, remainingMs: number): boolean {
    const { head, service, lessUrgentRanks } = this.#routed;
    if (service.engine === undefined) return true;
    const now = this.#daemon.now();
    const msPerToken = this.#daemon.streamPace(service.name)
      .msPerToken(choice.runner.id, now);
    return finishesInTime({
      remainingMs,
      prefillMs: this.#daemon.runnerPace(service.name).prefillMs(
        choice.runner.id,
        choice.prefillTokens,
        now,
      ),
      outputTokens: Math.min(
        head.maxOutputTokens,
        head.expectedOutputTokens ?? 0,
      ),
      lessUrgentRanks,
      msPerToken,
    });
  }

  #joinQueue(wait: CapacityWait, choice: RunnerChoice): void {
    const { runner, prefillTokens } = choice;
    const joined = wait.moveTo(this.#daemon.loads.of(runner.id), {
      runner: runner.id,
      prefillTokens,
      now: this.#daemon.now(),
    });
    if (!joined) return;
    logCapacityWait(this.#daemon, this.#routed, {
      choice,
      queueKey: this.#queueKey,
    });
  }

  /**
   * Checks one runner until it has capacity and the request's entry in its queue has
   * reached all daemons, or until the next review is due.
   */
  async #awaitCapacity(
    wait: CapacityWait,
    runner: Runner,
    waitUntil: number,
  ): Promise<void> {
    const { sharedTimer, loads } = this.#daemon;
    const propagationMs = this.#daemon.propagationMs();
    const late = this.#daemon.now() > this.#queueKey.startBy;
    const intervalMs = Math.max(
      reviewIntervalMs(loads.waitingCount, propagationMs),
      late ? LATE_REVIEW_INTERVAL_MS : 0,
    );
    const reviewAt = Math.min(waitUntil, this.#daemon.now() + intervalMs);
    const demand = this.#demand();
    do {
      await sharedTimer.next();
      if (this.#limits.isAbandoned() || this.#keyChanged) return;
      const fleet = this.#daemon.fleet(this.#routed.service.name);
      const capacity = hasCapacity(fleet, demand, runner);
      if (capacity && this.#maySend(wait, runner)) return;
    } while (this.#daemon.now() < reviewAt);
  }

  #maySend(wait: CapacityWait, runner: Runner): boolean {
    return wait.maySend(this.#daemon.loads.of(runner.id), {
      now: this.#daemon.now(),
      propagationMs: this.#daemon.propagationMs(),
    });
  }

  #choose(
    tried: ReadonlySet<string>,
    awaitedRunner?: string,
  ): RunnerChoice | undefined {
    const fleet = this.#daemon.fleet(this.#routed.service.name);
    const excluded = this.#withoutTrials(fleet, tried);
    return chooseRunner(fleet, this.#demand(awaitedRunner), excluded);
  }

  /** Adds the runners to which this request must not go first after a pause. */
  #withoutTrials(
    { runners, restrictions, now }: RunnerFleet,
    tried: ReadonlySet<string>,
  ): ReadonlySet<string> {
    const { pauses } = this.#daemon;
    const applies = this.#limits.returning !== undefined && pauses.hasPauses;
    if (!applies) return tried;
    const left = runners.filter(({ id }) =>
      !tried.has(id) && restrictions.allowRequest(id, now)
    );
    const withheld = withheldTrials(left, pauses, {
      attemptsLeft: this.#limits.attemptsLeft(),
      withinBudget: this.#daemon.retryBudget(this.#routed.service.name)
        .allows(now),
      now,
    });
    return withheld.length === 0 ? tried : new Set([...tried, ...withheld]);
  }

  #demand(awaitedRunner?: string): Demand {
    const { head, route, service, lessUrgentRanks } = this.#routed;
    return {
      prompt: head.prompt,
      promptTokens: head.promptTokens,
      maxOutputTokens: head.maxOutputTokens,
      expectedOutputTokens: head.expectedOutputTokens,
      timeoutMs: route.timeoutMs,
      targetMs: route.targetMs,
      gapTargetMs: route.gapTargetMs,
      queueKey: this.#queueKey,
      awaitedRunner,
      lessUrgentRanks,
      engine: service.engine,
    };
  }
}
