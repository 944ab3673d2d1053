/**
 * How a request finds the runner that it is sent to.
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
 * Part of the time that a caller has for which its request waits for room. The
 * rest is for the answer: a long one takes 3 s of the 8 that its callers have.
 */
const HOLD_SHARE = 0.4;
/**
 * Part of a request's target after which it is too late to be sent; the rest is
 * for the runner to read its prompt beside what it reads already.
 */
const START_SHARE = 0.7;
/**
 * Milliseconds between two looks at all runners while it waits. One takes 55 us
 * with 98 runners, a look at one of them 0.2 us: each 20 ms, 50 requests that
 * wait would take 14% of a core, with 200 ms they take 1.4%.
 */
const REVIEW_MS = 200;
/**
 * Times in which a wait settles until it is reviewed. A request that moved
 * sooner would wait anew each time, and be sent nowhere.
 */
const REVIEW_SETTLES = 2;
/**
 * Milliseconds of a review for each request that waits at this daemon: 40 reviews
 * a second at most. In a burst on 98 runners 49 requests waited at a daemon, were
 * reviewed 200 times a second and moved 119 times; 58 daemons told each other
 * 14,000 changes a second, and daemons with a third of a core sent requests on a
 * second after their callers had left.
 */
const REVIEW_PER_WAIT_MS = 25;

/**
 * Milliseconds between two reviews of a request that cannot begin on time any
 * more: it takes what is left over, and need not cost others their processor.
 */
const LATE_REVIEW_MS = 1_000;

/** Milliseconds after which a request that waits looks at all runners again. */
export function reviewIntervalMs(waiting: number, settleMs: number): number {
  return Math.max(
    REVIEW_MS,
    REVIEW_SETTLES * settleMs,
    REVIEW_PER_WAIT_MS * waiting,
  );
}

/** What a search knows of its request. Times are steady milliseconds. */
export interface SearchLimits {
  /** When the request came. */
  readonly receivedAt: number;
  /** When its caller gets a final answer in any case. */
  readonly expiresAt: number;
  /** Whether nobody waits for an answer any more. */
  isAbandoned(): boolean;
}

/** Finds runners for one request, one for each try. */
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
   * Chooses a runner that was not tried, and counts the request where that has a
   * limit. While the one that suits best has too much work, a request that has
   * reached no runner yet waits a while for it: most waits end within it, and a
   * refusal costs the caller more.
   *
   * @returns none when no runner is left.
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
   * Counts what is sent before anything else runs: all that wait for a runner
   * look at the same moment whether it takes one more.
   */
  #taken(choice: RunnerChoice | undefined): RunnerChoice | undefined {
    if (choice === undefined) return undefined;
    this.#daemon.limits.recordRequest(choice.runner.id, this.#daemon.now());
    return choice;
  }

  get #limitWaits(): LimitQueue {
    return this.#daemon.limitWaits(this.#subject.service.name);
  }

  /** Whether the runner takes one more, which another request gets first. */
  #yields({ runner }: RunnerChoice): boolean {
    const limited = this.#daemon.limits.of(runner.id) !== undefined;
    return limited &&
      !this.#limitWaits.isFirst(this.#turn, this.#daemon.now());
  }

  /** Runners that were not tried and have had what they take. */
  #limitedLeft(tried: ReadonlySet<string>): readonly Runner[] {
    const { runners, limits } = this.#daemon.fleet(this.#subject.service.name);
    return runners.filter(({ id }) =>
      !tried.has(id) && limits.of(id) !== undefined
    );
  }

  /** Whether one of them may take the request while it can wait. */
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
   * Whether the answer would end before the caller's time is over. One that does
   * not is read and made in vain, and slows down those that would.
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

  /** Looks at one runner until it has room and the wait is settled. */
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
