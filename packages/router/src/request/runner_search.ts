/**
 * Selects the runner for a request, and waits for its capacity.
 *
 * @module
 */
import type { LimitQueue } from "../process/limit_queue.ts";
import type { Runner } from "../process/runner.ts";
import type { QueueKey } from "../process/runner_queue.ts";
import { mayContinue } from "../process/stream_origin.ts";
import type { StreamOrigin } from "../process/stream_origin.ts";
import type { SharedKey } from "../process/share_order.ts";
import type { Daemon } from "./daemon.ts";
import { estimateRequestCost, flowOf } from "./cost_account.ts";
import type { Demand, RunnerFleet } from "./demand.ts";
import {
  logCapacityWait,
  logLimitsReached,
  logOverload,
  logPlaceBehindShare,
} from "./decision_log.ts";
import { finishesInTime } from "./completion_check.ts";
import { chooseRunner, eligibleRunners, maySendWaiting } from "./placement.ts";
import type { RunnerChoice } from "./placement.ts";
import { isQueued, isWaitUseful, maxWaitMs } from "./plain_admission.ts";
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

/** Milliseconds after its arrival in which a request can start on time. */
function startByMs(fleet: RunnerFleet, targetMs: number): number {
  const waitMs = isQueued(fleet) ? maxWaitMs(fleet, targetMs) : undefined;
  return waitMs ?? START_BY_SHARE * targetMs;
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
  /** Where the stream began that a runner is to continue, if any. */
  origin(): StreamOrigin | undefined;
  /** Absent where the service is not scheduled adaptively. */
  readonly returning?: RequestReturn | undefined;
}

/** Selects runners for one request, one for each attempt. */
export class RunnerSearch {
  readonly #daemon: Daemon;
  readonly #routed: RoutedRequest;
  readonly #limits: SearchLimits;
  /** Milliseconds after its arrival in which the request can start on time. */
  readonly #startByMs: number;
  #queueKey: QueueKey;
  /** The same key where the service is scheduled in shares of workspaces. */
  #sharedKey: SharedKey | undefined;
  #behindShareLogged = false;

  constructor(daemon: Daemon, routed: RoutedRequest, limits: SearchLimits) {
    this.#daemon = daemon;
    this.#routed = routed;
    this.#limits = limits;
    const fleet = daemon.fleet(routed.service.name);
    if (isQueued(fleet)) {
      fleet.plain.capacity.recordArrival(routed.rank, fleet.now);
    }
    this.#startByMs = startByMs(fleet, routed.route.targetMs);
    this.#queueKey = this.#createKey();
  }

  /** Returns the times of the request's key, which change if its place does. */
  get #times(): Pick<QueueKey, "arrivedAt" | "startBy"> {
    const { receivedAt, returning } = this.#limits;
    if (returning !== undefined) return returning.times(this.#startByMs);
    return {
      arrivedAt: receivedAt,
      startBy: receivedAt + this.#startByMs,
    };
  }

  #createKey(): QueueKey {
    const { rank, service, head } = this.#routed;
    const { arrivedAt, startBy } = this.#times;
    const daemon = this.#daemon;
    if (!daemon.scheduling.isAdaptive(service.name)) {
      return { rank, arrivedAt, startBy };
    }
    const cost = estimateRequestCost(daemon, this.#routed, head.promptTokens);
    this.#sharedKey = daemon.shareOrder.key(flowOf(this.#routed), {
      arrivedAt,
      startBy,
      cost,
    });
    return this.#sharedKey;
  }

  /**
   * Selects a runner that has not been tried, and counts the request against
   * the runner's rate limit, if it has one. While the best runner lacks
   * capacity, a request that may wait does so for a limited time: most waits end
   * within it, and a refusal costs the caller more. At a plain service whose
   * requests are queued each attempt waits, since a runner without capacity would
   * only refuse it.
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
    if (!mayWait && !this.#queued) return await this.#findMemory(tried);
    const wait = new CapacityWait(this.#queueKey);
    this.#joinOrder();
    let started = false;
    try {
      const choice = await this.#findCapacity(wait, tried);
      started = typeof choice === "object";
      if (choice === "overloaded") this.#recordRefusal();
      return choice;
    } finally {
      if (wait.runnerId !== undefined) this.#recordWaitEnded();
      wait.end();
      this.#limitQueue.remove(this.#queueKey);
      this.#leaveOrder(started);
    }
  }

  #joinOrder(): void {
    if (this.#sharedKey === undefined) return;
    this.#daemon.shareOrder.join(this.#sharedKey);
  }

  #leaveOrder(started: boolean): void {
    if (this.#sharedKey === undefined) return;
    this.#daemon.shareOrder.leave(this.#sharedKey, { started });
  }

  #recordRefusal(): void {
    if (this.#sharedKey === undefined) return;
    this.#daemon.shareOrder.recordRefusal(this.#sharedKey.flow);
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
    const { receivedAt } = this.#limits;
    const startedAt = this.#daemon.now();
    for (;;) {
      this.#applyKeyChange(wait);
      const waitUntil = this.#waitUntil(startedAt);
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
      await this.#awaitCapacity(wait, choice.runner, { tried, waitUntil });
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
    this.#leaveOrder(false);
    this.#queueKey = this.#createKey();
    this.#joinOrder();
    wait.changeKey(this.#queueKey);
  }

  get #keyChanged(): boolean {
    if (this.#limits.returning === undefined) return false;
    const { arrivedAt, startBy } = this.#times;
    const key = this.#sharedKey;
    return arrivedAt !== this.#queueKey.arrivedAt ||
      startBy !== (key?.latestStart ?? this.#queueKey.startBy);
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
    const fleet = this.#daemon.fleet(this.#routed.service.name);
    const excluded = this.#excluded(fleet, tried);
    return fleet.runners.filter(({ id }) =>
      !excluded.has(id) && fleet.restrictions.applyTo(id)
    );
  }

  /** Returns the runners that were tried or must not continue the stream. */
  #excluded(
    { runners }: RunnerFleet,
    tried: ReadonlySet<string>,
  ): ReadonlySet<string> {
    const origin = this.#limits.origin();
    if (origin === undefined) return tried;
    const others = runners.filter((runner) => !mayContinue(origin, runner));
    return new Set([...tried, ...others.map(({ id }) => id)]);
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
    const { head, service } = this.#routed;
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
      lessUrgentRanks: this.#lessUrgentRanks,
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
    const demand = this.#demand(wait);
    return isWaitUseful(fleet, demand, {
      runners: eligibleRunners(fleet, demand, this.#excluded(fleet, tried)),
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
    this.#logPlaceBehindShare(runner);
    if (!joined) return;
    logCapacityWait(this.#daemon, this.#routed, {
      choice,
      queueKey: this.#queueKey,
    });
  }

  /** Logs once that requests that came later go first by their share. */
  #logPlaceBehindShare(runner: Runner): void {
    const key = this.#sharedKey;
    if (key === undefined || this.#behindShareLogged) return;
    const { queue } = this.#daemon.loads.of(runner.id);
    const now = this.#daemon.now();
    const before = queue.laterByShare(key, now);
    if (before.requests === 0) return;
    this.#behindShareLogged = true;
    logPlaceBehindShare(this.#daemon, this.#routed, { runner, key, before });
  }

  /**
   * Number of less urgent ranks; that of the most urgent rank for a request that
   * the minimum share of its rank sends first. The limits of its own rank leave no
   * capacity that more urgent requests do not take.
   */
  get #lessUrgentRanks(): number {
    const { lessUrgentRanks, rank } = this.#routed;
    return this.#sharedKey?.promoted ? lessUrgentRanks + rank : lessUrgentRanks;
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
    do {
      await timer.next();
      if (this.#limits.isAbandoned() || this.#keyChanged) return;
      const fleet = this.#daemon.fleet(this.#routed.service.name);
      const settled = this.#maySend(wait, runner);
      const demand = this.#demand(wait);
      const excluded = this.#excluded(fleet, tried);
      const waiting = { runner, settled, excluded };
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
    const excluded = this.#withoutTrials(fleet, this.#excluded(fleet, tried));
    return chooseRunner(fleet, this.#demand(wait), excluded);
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

  #demand(wait?: CapacityWait): Demand {
    const { head, route, service } = this.#routed;
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
      lessUrgentRanks: this.#lessUrgentRanks,
      engine: service.engine,
    };
  }
}
