/**
 * Selects the runner for a request, and waits for its capacity.
 *
 * @module
 */
import type { LimitQueue } from "../process/limit_queue.ts";
import type { Runner } from "../process/runner.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import type { Daemon } from "./daemon.ts";
import type { Demand } from "./demand.ts";
import {
  logCapacityWait,
  logLimitsReached,
  logOverload,
} from "./decision_log.ts";
import { finishesInTime } from "./completion_check.ts";
import { chooseRunner, eligibleRunners, maySendWaiting } from "./placement.ts";
import type { RunnerChoice } from "./placement.ts";
import { isQueued, isWaitUseful, maxWaitMs } from "./plain_admission.ts";
import { CapacityWait } from "./capacity_wait.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Maximum share of a caller's remaining time for which its request waits for
 * capacity. The rest is for the response: a long one takes 3 s of the 8 s that
 * its callers have.
 */
const MAX_WAIT_SHARE = 0.4;
/**
 * Share of a request's target latency after which it can no longer start on
 * time. The rest is for the runner to prefill its prompt alongside the prompts
 * that it already has.
 */
const START_BY_SHARE = 0.7;
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
}

/** Selects runners for one request, one for each attempt. */
export class RunnerSearch {
  readonly #daemon: Daemon;
  readonly #routed: RoutedRequest;
  readonly #limits: SearchLimits;
  readonly #queueKey: QueueKey;

  constructor(daemon: Daemon, routed: RoutedRequest, limits: SearchLimits) {
    this.#daemon = daemon;
    this.#routed = routed;
    this.#limits = limits;
    const { targetMs } = routed.route;
    const fleet = daemon.fleet(routed.service.name);
    if (isQueued(fleet)) {
      fleet.plain.capacity.recordArrival(routed.rank, fleet.now);
    }
    const waitMs = isQueued(fleet) ? maxWaitMs(fleet, targetMs) : undefined;
    this.#queueKey = {
      rank: routed.rank,
      arrivedAt: limits.receivedAt,
      startBy: limits.receivedAt + (waitMs ?? START_BY_SHARE * targetMs),
    };
  }

  /**
   * Selects a runner that has not been tried, and counts the request against
   * the runner's rate limit, if it has one. While the best runner lacks
   * capacity, a request that has not reached any runner waits for it for a
   * limited time: most waits end within it, and a refusal costs the caller
   * more. At a plain service whose requests are queued each attempt waits, since
   * a runner without capacity would only refuse it.
   *
   * @returns `undefined` when no runner is left, or "overloaded" when no runner has
   * capacity and the request may not wait any longer.
   */
  async find(options: {
    readonly tried: ReadonlySet<string>;
    readonly noRunnerReached: boolean;
  }): Promise<RunnerChoice | undefined | "overloaded"> {
    const { tried, noRunnerReached } = options;
    if (!noRunnerReached && !this.#queued) {
      return this.#countRequest(this.#choose(tried));
    }
    const wait = new CapacityWait(this.#queueKey);
    try {
      return await this.#findCapacity(wait, tried);
    } finally {
      if (wait.runnerId !== undefined) this.#recordWaitEnded();
      wait.end();
      this.#limitQueue.remove(this.#queueKey);
    }
  }

  async #findCapacity(
    wait: CapacityWait,
    tried: ReadonlySet<string>,
  ): Promise<RunnerChoice | undefined | "overloaded"> {
    const { receivedAt, expiresAt } = this.#limits;
    const startedAt = this.#daemon.now();
    const remainingMs = expiresAt - startedAt;
    const { patienceMs } = this.#routed.route;
    const waitUntil = startedAt +
      MAX_WAIT_SHARE * Math.min(remainingMs, patienceMs);
    for (;;) {
      const choice = this.#choose(tried, wait);
      if (choice === undefined || this.#mustYield(choice)) {
        const restricted = this.#restrictedRunners(tried);
        if (restricted.length === 0) return undefined;
        if (!this.#mayWait(restricted, waitUntil)) return "overloaded";
        this.#limitQueue.add(this.#queueKey);
        await this.#daemon.sharedTimer.next();
        continue;
      }
      const now = this.#daemon.now();
      const inTime = this.#finishesInTime(choice, tried, wait);
      const maySend = choice.room !== undefined ||
        this.#maySend(wait, choice.runner);
      if (inTime && !choice.overloaded && maySend) {
        return this.#countRequest(choice);
      }
      if (!inTime || now > waitUntil || this.#limits.isAbandoned()) {
        logOverload(this.#daemon, this.#routed, {
          choice,
          waitedMs: now - receivedAt,
          inTime,
        });
        return "overloaded";
      }
      this.#joinQueue(wait, choice);
      await this.#awaitCapacity(wait, choice.runner, { tried, waitUntil });
    }
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
  #finishesInTime(
    choice: RunnerChoice,
    tried: ReadonlySet<string>,
    wait: CapacityWait,
  ): boolean {
    const { head, service, lessUrgentRanks } = this.#routed;
    if (service.engine === undefined) {
      return this.#mayAwaitPlain(choice, tried, wait);
    }
    const now = this.#daemon.now();
    const remainingMs = this.#limits.expiresAt - now;
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

  /** Whether a plain request may be sent, or waiting is of use to it. */
  #mayAwaitPlain(
    choice: RunnerChoice,
    tried: ReadonlySet<string>,
    wait: CapacityWait,
  ): boolean {
    const fleet = this.#daemon.fleet(this.#routed.service.name);
    if (!isQueued(fleet)) return true;
    const { expiresAt } = this.#limits;
    if (!choice.overloaded) {
      return fleet.now + (choice.room?.responseMs ?? 0) <= expiresAt;
    }
    return isWaitUseful(fleet, this.#demand(wait), {
      runners: eligibleRunners(fleet, tried),
      expiresAt,
    });
  }

  /** Whether requests to the service are queued though it is a plain one. */
  get #queued(): boolean {
    return isQueued(this.#daemon.fleet(this.#routed.service.name));
  }

  #recordWaitEnded(): void {
    const { service, rank } = this.#routed;
    this.#daemon.metrics.waitEnded(service.name, rank);
  }

  #joinQueue(wait: CapacityWait, choice: RunnerChoice): void {
    const { runner, prefillTokens } = choice;
    const { service, rank } = this.#routed;
    if (wait.runnerId === undefined) {
      this.#daemon.metrics.waitStarted(service.name, rank);
    }
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
    options: {
      readonly tried: ReadonlySet<string>;
      readonly waitUntil: number;
    },
  ): Promise<void> {
    const { tried, waitUntil } = options;
    const { sharedTimer, plainTimer, loads } = this.#daemon;
    const timer = this.#queued ? plainTimer : sharedTimer;
    const propagationMs = this.#daemon.propagationMs();
    const now = this.#daemon.now();
    const late = now > this.#queueKey.startBy;
    const intervalMs = Math.max(
      reviewIntervalMs(loads.waitingCount, propagationMs),
      late && !this.#queued ? LATE_REVIEW_INTERVAL_MS : 0,
    );
    // A request that becomes late hears at once if waiting is of no more use.
    const lateAt = this.#queued && !late ? this.#queueKey.startBy : Infinity;
    const reviewAt = Math.min(waitUntil, now + intervalMs, lateAt);
    const awaited = this.#demand();
    do {
      await timer.next();
      if (this.#limits.isAbandoned()) return;
      const fleet = this.#daemon.fleet(this.#routed.service.name);
      const settled = this.#maySend(wait, runner);
      const demand = isQueued(fleet) ? this.#demand(wait) : awaited;
      const waiting = { runner, settled, excluded: tried };
      if (maySendWaiting(fleet, demand, waiting)) return;
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
    wait?: CapacityWait,
  ): RunnerChoice | undefined {
    const fleet = this.#daemon.fleet(this.#routed.service.name);
    return chooseRunner(fleet, this.#demand(wait), tried);
  }

  #demand(wait?: CapacityWait): Demand {
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
      awaitedRunner: wait?.runnerId,
      waitedMs: wait?.waitedMs(this.#daemon.now()) ?? 0,
      lessUrgentRanks,
      engine: service.engine,
    };
  }
}
