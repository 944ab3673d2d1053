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
} from "./exchange_log.ts";
import { finishesInTime } from "./completion_check.ts";
import { chooseRunner, hasCapacity } from "./placement.ts";
import type { RunnerChoice } from "./placement.ts";
import { CapacityWait } from "./capacity_wait.ts";
import type { RoutedRequest } from "./routed_request.ts";

/**
 * Maximum share of a caller's remaining time for which its request waits for
 * capacity. The rest is for the response: a long one takes 3 s of the 8 s that
 * its callers have.
 */
const HOLD_SHARE = 0.4;
/**
 * Share of a request's target latency after which it can no longer start on
 * time. The rest is for the runner to prefill its prompt alongside the prompts
 * that it already has.
 */
const START_SHARE = 0.7;
/**
 * Interval in ms at which a waiting request is evaluated against all runners
 * again. One evaluation takes 55 us with 98 runners, a check of a single runner
 * 0.2 us: 50 waiting requests evaluated every 20 ms would take 14% of a core;
 * every 200 ms they take 1.4%.
 */
const REVIEW_MS = 200;
/**
 * Minimum review interval as a multiple of the propagation time. A request that
 * changed runners more often would restart its wait each time and never be
 * sent.
 */
const REVIEW_SETTLES = 2;
/**
 * Minimum review interval in ms for each request that waits at this daemon,
 * which limits a daemon to 40 reviews a second. Without it, in a burst on 98
 * runners, the 49 requests that waited at a daemon were reviewed 200 times a
 * second and changed runners 119 times; 58 daemons sent each other 14,000
 * changes a second, and daemons with a third of a core still sent requests a
 * second after their callers had disconnected.
 */
const REVIEW_PER_WAIT_MS = 25;

/**
 * Interval in ms between reviews of a request that can no longer start on time.
 * It gets leftover capacity and must not take processor time from other
 * requests.
 */
const LATE_REVIEW_MS = 1_000;

/**
 * Returns the interval in ms at which a waiting request is evaluated against
 * all runners.
 */
export function reviewIntervalMs(waiting: number, settleMs: number): number {
  return Math.max(
    REVIEW_MS,
    REVIEW_SETTLES * settleMs,
    REVIEW_PER_WAIT_MS * waiting,
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
  readonly #subject: RoutedRequest;
  readonly #limits: SearchLimits;
  readonly #turn: QueueKey;

  constructor(daemon: Daemon, subject: RoutedRequest, limits: SearchLimits) {
    this.#daemon = daemon;
    this.#subject = subject;
    this.#limits = limits;
    const { targetMs } = subject.route;
    this.#turn = {
      rank: subject.rank,
      arrivedAt: limits.receivedAt,
      startBy: limits.receivedAt + START_SHARE * targetMs,
    };
  }

  /**
   * Selects a runner that has not been tried, and counts the request against
   * the runner's rate limit, if it has one. While the best runner lacks
   * capacity, a request that has not reached any runner waits for it for a
   * limited time: most waits end within it, and a refusal costs the caller
   * more.
   *
   * @returns `undefined` when no runner is left.
   */
  async find(options: {
    readonly tried: ReadonlySet<string>;
    readonly noRunnerReached: boolean;
  }): Promise<RunnerChoice | undefined | "overloaded"> {
    const { tried, noRunnerReached: reachedNone } = options;
    if (!reachedNone) return this.#taken(this.#choose(tried));
    const wait = new CapacityWait(this.#turn);
    try {
      return await this.#findRoom(wait, tried);
    } finally {
      wait.end();
      this.#limitWaits.remove(this.#turn);
    }
  }

  async #findRoom(
    wait: CapacityWait,
    tried: ReadonlySet<string>,
  ): Promise<RunnerChoice | undefined | "overloaded"> {
    const { receivedAt: since, expiresAt } = this.#limits;
    const startedAt = this.#daemon.now();
    const left = expiresAt - startedAt;
    const { patienceMs } = this.#subject.route;
    const until = startedAt + HOLD_SHARE * Math.min(left, patienceMs);
    for (;;) {
      const choice = this.#choose(tried, wait.runnerId);
      if (choice === undefined || this.#yields(choice)) {
        const limited = this.#limitedLeft(tried);
        if (limited.length === 0) return undefined;
        if (!this.#mayAwait(limited, until)) return "overloaded";
        this.#limitWaits.add(this.#turn);
        await this.#daemon.pulse.next();
        continue;
      }
      const now = this.#daemon.now();
      const inTime = this.#endsInTime(choice, expiresAt - now);
      if (inTime && !choice.overloaded && this.#maySend(wait, choice.runner)) {
        return this.#taken(choice);
      }
      if (!inTime || now > until || this.#limits.isAbandoned()) {
        logOverload(this.#daemon, this.#subject, {
          choice,
          waitedMs: now - since,
          inTime,
        });
        return "overloaded";
      }
      this.#waitAt(wait, choice);
      await this.#watchRoom(wait, choice.runner, until);
    }
  }

  /**
   * Counts the request before anything else runs: all requests that wait for a
   * runner check at the same moment whether it accepts another one.
   */
  #taken(choice: RunnerChoice | undefined): RunnerChoice | undefined {
    if (choice === undefined) return undefined;
    this.#daemon.limits.recordRequest(choice.runner.id, this.#daemon.now());
    return choice;
  }

  get #limitWaits(): LimitQueue {
    return this.#daemon.limitWaits(this.#subject.service.name);
  }

  /**
   * Whether the runner is rate-limited and another waiting request goes first.
   */
  #yields({ runner }: RunnerChoice): boolean {
    const limited = this.#daemon.limits.of(runner.id) !== undefined;
    return limited &&
      !this.#limitWaits.isFirst(this.#turn, this.#daemon.now());
  }

  /** Returns the runners that were not tried and are at their rate limits. */
  #limitedLeft(tried: ReadonlySet<string>): readonly Runner[] {
    const { runners, limits } = this.#daemon.fleet(this.#subject.service.name);
    return runners.filter(({ id }) =>
      !tried.has(id) && limits.of(id) !== undefined
    );
  }

  /** Whether one of the runners may accept the request before its wait ends. */
  #mayAwait(limited: readonly Runner[], until: number): boolean {
    const now = this.#daemon.now();
    const { limits } = this.#daemon;
    const hope = limited.some(({ id }) => limits.hasShare(id, now));
    if (hope && now <= until && !this.#limits.isAbandoned()) return true;
    logLimitsReached(this.#daemon, this.#subject, {
      limited: limited.length,
      waitedMs: now - this.#limits.receivedAt,
      hasPart: hope,
    });
    return false;
  }

  /**
   * Whether the response would finish before the caller's time-out. One that
   * does not is prefilled and generated in vain, and slows down those that
   * would.
   */
  #endsInTime(choice: RunnerChoice, leftMs: number): boolean {
    const { head: call, service, ranksBelow } = this.#subject;
    if (service.engine === undefined) return true;
    const msPerToken = this.#daemon.pace(service.name)
      .msPerToken(choice.runner.id, this.#daemon.now());
    return finishesInTime({
      remainingMs: leftMs,
      prefillTokens: choice.prefillTokens,
      outputTokens: Math.min(
        call.maxOutputTokens,
        call.expectedOutputTokens ?? 0,
      ),
      ranksBelow,
      msPerToken,
    });
  }

  #waitAt(wait: CapacityWait, choice: RunnerChoice): void {
    const { runner, prefillTokens: unreadTokens } = choice;
    const begun = wait.moveTo(this.#daemon.loads.of(runner.id), {
      runner: runner.id,
      unreadTokens,
      now: this.#daemon.now(),
    });
    if (!begun) return;
    logCapacityWait(this.#daemon, this.#subject, { choice, turn: this.#turn });
  }

  /**
   * Checks one runner until it has capacity and the entry in its queue has
   * propagated, or until the next review is due.
   */
  async #watchRoom(
    wait: CapacityWait,
    runner: Runner,
    until: number,
  ): Promise<void> {
    const { pulse, loads } = this.#daemon;
    const settleMs = this.#daemon.propagationMs();
    const late = this.#daemon.now() > this.#turn.startBy;
    const spanMs = Math.max(
      reviewIntervalMs(loads.waitingCount, settleMs),
      late ? LATE_REVIEW_MS : 0,
    );
    const reviewAt = Math.min(until, this.#daemon.now() + spanMs);
    const demand = this.#demand();
    do {
      await pulse.next();
      if (this.#limits.isAbandoned()) return;
      const fleet = this.#daemon.fleet(this.#subject.service.name);
      const room = hasCapacity(fleet, demand, runner);
      if (room && this.#maySend(wait, runner)) return;
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
    waitsFor?: string,
  ): RunnerChoice | undefined {
    const fleet = this.#daemon.fleet(this.#subject.service.name);
    return chooseRunner(fleet, this.#demand(waitsFor), tried);
  }

  #demand(waitsFor?: string): Demand {
    const { head: call, route, service, ranksBelow } = this.#subject;
    return {
      prompt: call.prompt,
      promptTokens: call.promptTokens,
      answerTokens: call.maxOutputTokens,
      expectedTokens: call.expectedOutputTokens,
      timeoutMs: route.timeoutMs,
      targetMs: route.targetMs,
      gapTargetMs: route.gapTargetMs,
      queueKey: this.#turn,
      awaitedRunner: waitsFor,
      ranksBelow,
      engine: service.engine,
    };
  }
}
