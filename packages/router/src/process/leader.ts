/**
 * The elected leader of the fleet, which reports usage and orders runners.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import type { EventLog } from "./event_log.ts";
import type { LeaderLease } from "./leader_lease.ts";
import type { LeaderState, UsageReport } from "./leader_record.ts";
import type { RequestMetrics } from "./metrics.ts";
import { OrderTracker } from "./order_tracker.ts";
import { pause } from "./pause.ts";
import type { CallOutcome, PlatformApi, PlatformCall } from "./platform_api.ts";
import type { ScalingPolicy } from "./runner_order.ts";
import {
  checkpointOf,
  finalizeReports,
  skipLostReports,
  withAccepted,
} from "./usage_reports.ts";
import type {
  MissedWindows,
  UsageDecision,
  UsageSources,
  UsageTiming,
} from "./usage_reports.ts";
import type { Counts, UsageMeter } from "./usage_meter.ts";

/** Delay in ms after the start, in which the daemon learns whether it is eligible. */
const STARTUP_DELAY_MS = 1_000;
/** Interval in ms between steps of the leader. */
const LEADER_INTERVAL_MS = 200;
/** Mean interval in ms between steps of a daemon that is eligible to lead. */
const CANDIDATE_INTERVAL_MS = 400;
/** Interval in ms between steps of a daemon that is not eligible. */
const INELIGIBLE_INTERVAL_MS = 1_000;
/** Fraction of the lease duration after which the leader renews the lease. */
const RENEWAL_FRACTION = 0.4;
/**
 * Fraction of the lease duration after which an eligible daemon reads the lease
 * from the store, if it has observed no renewal. Usually neighbours report a
 * renewal earlier.
 */
const CHECK_FRACTION = 0.6;
/**
 * Share of the recent daemons that a candidate accounts for, below which it leaves
 * the lease to others for a while: they receive more counts than it does. Daemons
 * that were cut off remain in small groups for some seconds after their return.
 */
const FULL_VIEW_SHARE = 0.5;
/** The time in ms, which lets each other candidate take several steps. */
const HOLD_BACK_MS = 2_000;
/** Time-out of a call to the platform, in ms; the call is then aborted. */
const TIMEOUT_MS = 900;
/**
 * The same while the store does not answer: when a renewal has timed out (700 ms),
 * 500 ms of a lease of 3 s are left.
 */
const SHORT_TIMEOUT_MS = 400;
/** Backoff in ms after the first failed call; doubled after each one, up to the maximum. */
const INITIAL_RETRY_MS = 400;
const MAX_RETRY_MS = 3_200;
/** Backoff in ms after a step that failed; doubled after each one, up to the maximum. */
const INITIAL_BACKOFF_MS = 1_000;
const MAX_BACKOFF_MS = 30_000;
/** Maximum length of the reason that a failed step is logged with. */
const MAX_REASON_LENGTH = 1_000;

/** Options of a {@linkcode Leader}. */
export interface LeaderOptions {
  readonly name: string;
  readonly lease: LeaderLease;
  readonly leaseMs: number;
  readonly api: PlatformApi;
  /** Absent if usage is not reported. */
  readonly usage: {
    readonly meter: UsageMeter;
    readonly timing: UsageTiming;
    /** Returns the number of daemons in the fleet, as far as they are linked. */
    readonly daemons: () => number;
    /** Returns the number of daemons that were recently in the fleet. */
    readonly recentDaemons: () => number;
  } | undefined;
  /** Absent if runners are not ordered. */
  readonly scalingPolicy: ScalingPolicy | undefined;
  /** Whether this daemon may become or remain the leader. */
  readonly eligible: () => boolean;
  /** Called when other daemons should be notified of a change of the lease. */
  readonly leaseChanged: () => void;
  /** Returns the time in epoch ms, as the daemons estimate it together. */
  readonly now: () => number;
  /** Returns monotonic time, in ms. */
  readonly monotonic: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  readonly log: EventLog;
  readonly metrics: LeaderMetrics;
}

/** Final counts of a usage window that the store is not known to hold yet. */
interface UnstoredCounts {
  readonly counts: Counts;
  /** Number of daemons that the counts come from. */
  readonly daemons: number;
}

/** Metrics that the leader updates. */
export type LeaderMetrics = Pick<
  RequestMetrics,
  "term" | "usageWindow" | "platformCall"
>;

/**
 * Performs the leader's tasks while this daemon holds the lease, and tries to
 * take the lease when the current leader fails.
 *
 * Each step first writes new decisions to the store together with a renewal of
 * the lease. It then calls the platform for decisions that the store holds, one
 * call at a time, and only if the call must end before the lease expires. A
 * successor therefore makes the same calls.
 */
export class Leader {
  readonly #options: LeaderOptions;
  readonly #orders: OrderTracker;
  readonly #accepted = new Set<number>();
  /** Attempts to report each window in this term. */
  readonly #attempts = new Map<number, number>();
  /** Final counts by window, until the store is known to hold them. */
  readonly #unstored = new Map<number, UnstoredCounts>();
  /** Missed windows by the first, until the store is known to hold the decision. */
  readonly #unstoredMissed = new Map<number, MissedWindows>();
  /**
   * Windows whose held counts may have been sent: by an earlier leader, or by this
   * one while the store did not answer.
   */
  readonly #frozen = new Set<number>();
  /** Monotonic ms since which this daemon leaves a free lease to others. */
  #heldBackSince: number | undefined;
  #stopped = false;
  /** Resolves when the current step has ended. */
  #currentStep: Promise<void> = Promise.resolve();
  #retryMs = INITIAL_RETRY_MS;
  /** Delay in ms after the next step that fails. */
  #backoffMs = INITIAL_BACKOFF_MS;
  /** Earliest time of the next report, in monotonic ms. */
  #reportNotBefore = -Infinity;

  constructor(options: LeaderOptions) {
    this.#options = options;
    this.#orders = new OrderTracker(options.scalingPolicy, options.log);
  }

  /** Runs until {@linkcode stop} or {@linkcode stepDown} is called. */
  async run(): Promise<void> {
    await pause(STARTUP_DELAY_MS, { background: true });
    while (!this.#stopped) {
      let delayMs = 0;
      this.#currentStep = this.#tryStep().then((ms) => void (delayMs = ms));
      await this.#currentStep;
      await pause(delayMs, { background: true });
    }
  }

  /**
   * Performs a step. If it fails, gives up the lease, so that another daemon may
   * lead; requests do not depend on the leader.
   *
   * @returns the delay in ms until the next step.
   */
  async #tryStep(): Promise<number> {
    try {
      // The step that takes the lease does not lead yet.
      const leads = this.#options.lease.held;
      await this.#step();
      if (leads) this.#backoffMs = INITIAL_BACKOFF_MS;
      return this.#intervalMs();
    } catch (error) {
      const delayMs = this.#backoffMs;
      this.#backoffMs = Math.min(MAX_BACKOFF_MS, 2 * delayMs);
      this.#logFailure("step", error);
      await this.#giveUp();
      return delayMs;
    }
  }

  async #giveUp(): Promise<void> {
    try {
      await this.#options.lease.release();
      this.#options.leaseChanged();
    } catch (error) {
      this.#logFailure("release", error);
    }
  }

  #logFailure(action: "step" | "release", error: unknown): void {
    const text = error instanceof Error ? error.stack : String(error);
    const reason = text?.slice(0, MAX_REASON_LENGTH);
    this.#options.log.event("leader_failed", { action, reason });
  }

  /** Stops; no further calls are started. */
  stop(): void {
    this.#stopped = true;
  }

  /** Stops, and releases the lease so that another daemon can take it at once. */
  async stepDown(): Promise<void> {
    this.stop();
    await this.#currentStep;
    await this.#options.lease.release();
    this.#options.leaseChanged();
  }

  #intervalMs(): number {
    const { lease, eligible, random } = this.#options;
    if (lease.held) return LEADER_INTERVAL_MS;
    // Jitter keeps candidates from reading the store at the same time.
    return eligible()
      ? CANDIDATE_INTERVAL_MS * (0.5 + random())
      : INELIGIBLE_INTERVAL_MS;
  }

  async #step(): Promise<void> {
    const { lease, eligible, leaseChanged, metrics } = this.#options;
    metrics.term(lease.fencing ?? 0);
    if (lease.held) return await this.#lead();
    // Until other leases have expired, neighbours tell whether one is renewed.
    if (!eligible() || lease.awaitsExpiry) return;
    const shouldCheck = lease.isReleased ||
      lease.unchangedMs >= CHECK_FRACTION * this.#options.leaseMs;
    if (!shouldCheck) {
      this.#heldBackSince = undefined;
      return;
    }
    if (await this.#holdsBack()) return;
    await lease.tryTake();
    if (!lease.held) return;
    this.#heldBackSince = undefined;
    // The response to the last write of an earlier term may have been lost.
    this.#logStored();
    this.#unstored.clear();
    this.#unstoredMissed.clear();
    this.#freezeHeld();
    this.#orders.reset();
    this.#accepted.clear();
    this.#attempts.clear();
    leaseChanged();
  }

  /** Whether to leave the lease to others that may receive more counts. */
  async #holdsBack(): Promise<boolean> {
    const { lease, usage, monotonic } = this.#options;
    if (usage === undefined) return false;
    const hasFullView =
      usage.daemons() >= FULL_VIEW_SHARE * usage.recentDaemons();
    if (hasFullView) return false;
    const isFree = await lease.tryTake({ observeOnly: true });
    if (!isFree) this.#heldBackSince = undefined;
    else this.#heldBackSince ??= monotonic();
    return monotonic() < (this.#heldBackSince ?? Infinity) + HOLD_BACK_MS;
  }

  async #lead(): Promise<void> {
    const { lease, eligible, leaseChanged } = this.#options;
    if (!eligible()) {
      await lease.release();
      return leaseChanged();
    }
    const renewalMs = RENEWAL_FRACTION * this.#options.leaseMs;
    const renewalDue = lease.sinceRenewalMs >= renewalMs;
    const decided = this.#decide(renewalDue);
    if (decided !== undefined || renewalDue) {
      const state = this.#withCheckpoint(decided ?? lease.state);
      if (!await lease.update(state)) return await this.#sendWithoutStore();
      this.#logStored();
      leaseChanged();
    }
    await this.#sendReport();
    await this.#sendOrders();
  }

  /**
   * Returns the state with new decisions, or nothing if there are none.
   *
   * @param writing whether the state is written in any case.
   */
  #decide(writing: boolean): LeaderState | undefined {
    const { lease, monotonic } = this.#options;
    let { state } = lease;
    const sources = this.#sources(writing);
    if (sources !== undefined) state = this.#decideReports(state, sources);
    const orders = this.#orders.reconcile(state.orders, monotonic());
    if (orders !== undefined) state = { ...state, orders };
    return state === lease.state ? undefined : state;
  }

  /** Returns the state with the reports that are due. */
  #decideReports(state: LeaderState, sources: UsageSources): LeaderState {
    const { lease, monotonic } = this.#options;
    const { restoredAt } = lease;
    let kept = state;
    if (restoredAt !== undefined) {
      const noticedAt = sources.now - (monotonic() - restoredAt);
      const skipped = skipLostReports(state, sources.timing, noticedAt);
      this.#recordDecision(skipped);
      kept = skipped.state;
    }
    const decision = finalizeReports(kept, sources);
    if (decision === undefined) return kept;
    this.#recordDecision(decision);
    return decision.state;
  }

  #recordDecision({ finalized, missed }: UsageDecision): void {
    for (const { window, counts } of finalized) {
      const daemons = this.#options.usage!.meter.incarnations(window).size;
      this.#unstored.set(window, { counts, daemons });
    }
    if (missed !== undefined) this.#unstoredMissed.set(missed.first, missed);
  }

  /** Logs the decisions on windows that the store is now known to hold. */
  #logStored(): void {
    const { lease, log, metrics } = this.#options;
    for (const [window, { counts, daemons }] of this.#unstored) {
      const stored = lease.state.reports
        .find((report) => report.window === window);
      if (!isDeepStrictEqual(stored?.counts, counts)) continue;
      const requests = Object.values(counts)
        .reduce((sum, count) => sum + count, 0);
      metrics.usageWindow("fixed", window);
      log.event("usage_fixed", { window, requests, daemons });
      this.#unstored.delete(window);
    }
    for (const [first, missed] of this.#unstoredMissed) {
      if (!isMissed(missed, lease.state)) continue;
      const { last, count } = missed;
      metrics.usageWindow("missed", last, count);
      log.event("usage_missed", { window: last, first, windows: count });
      this.#unstoredMissed.delete(first);
    }
  }

  #withCheckpoint(state: LeaderState): LeaderState {
    const sources = this.#sources(true);
    if (sources === undefined) return state;
    const checkpoint = checkpointOf(state, sources);
    return withAccepted({ ...state, checkpoint }, this.#accepted);
  }

  #sources(writing: boolean): UsageSources | undefined {
    const { usage, now } = this.#options;
    if (usage === undefined) return undefined;
    const { meter, timing, daemons } = usage;
    return {
      meter,
      timing,
      now: now(),
      daemons: daemons(),
      writing,
      frozen: this.#frozen,
    };
  }

  /** Treats the held counts in the state of an earlier term as final. */
  #freezeHeld(): void {
    this.#frozen.clear();
    for (const { window, held } of this.#options.lease.state.reports) {
      if (held) this.#frozen.add(window);
    }
  }

  /**
   * Sends reports while the store does not answer, held ones among them: without the
   * store this leader soon ends, and nobody can send them in time. A successor finds
   * the same counts, whichever writes take effect.
   */
  async #sendWithoutStore(): Promise<void> {
    const { lease } = this.#options;
    for (const report of lease.state.reports) {
      if (!this.#isPending(report) || !isFixed(report, lease)) continue;
      if (report.held) this.#frozen.add(report.window);
      await this.#send(report, SHORT_TIMEOUT_MS);
    }
  }

  /** Sends one report that the platform has not accepted yet. */
  async #sendReport(): Promise<void> {
    const report = this.#nextReport();
    if (report !== undefined) await this.#send(report, TIMEOUT_MS);
  }

  async #send(report: UsageReport, timeoutMs: number): Promise<void> {
    const { api, monotonic, log, metrics } = this.#options;
    if (monotonic() < this.#reportNotBefore) return;
    const call = this.#beginCall(timeoutMs);
    if (call === undefined) return;
    this.#attempts.set(report.window, this.#attemptsOf(report) + 1);
    const outcome = await this.#endCall(api.reportUsage(report, call));
    log.event("usage_reported", {
      window: report.window,
      fencing: call.fence.fencing,
      end: outcome.kind,
      reason: outcome.kind === "failed" ? outcome.reason : undefined,
    });
    metrics.platformCall("usage", outcome.kind);
    if (outcome.kind === "accepted") {
      metrics.usageWindow("accepted", report.window);
      this.#accepted.add(report.window);
      this.#retryMs = INITIAL_RETRY_MS;
      return;
    }
    this.#reportNotBefore = monotonic() + this.#retryMs;
    this.#retryMs = Math.min(MAX_RETRY_MS, 2 * this.#retryMs);
  }

  /**
   * Returns the pending report with the fewest attempts, so that one that the
   * platform refuses does not hold up the others.
   */
  #nextReport(): UsageReport | undefined {
    let next: UsageReport | undefined;
    for (const report of this.#options.lease.state.reports) {
      if (!this.#isPending(report) || report.held) continue;
      const fewer = next === undefined ||
        this.#attemptsOf(report) < this.#attemptsOf(next);
      if (fewer) next = report;
    }
    return next;
  }

  #attemptsOf({ window }: UsageReport): number {
    return this.#attempts.get(window) ?? 0;
  }

  #isPending({ window, accepted }: UsageReport): boolean {
    return !accepted && !this.#accepted.has(window);
  }

  /** Sends the orders that are due, one after the other. */
  async #sendOrders(): Promise<void> {
    const { lease, leaseMs, api, monotonic, metrics } = this.#options;
    for (const order of this.#orders.due(lease.state.orders, monotonic())) {
      // The next step renews the lease, and sends the others.
      if (lease.sinceRenewalMs >= RENEWAL_FRACTION * leaseMs) return;
      const call = this.#beginCall(TIMEOUT_MS);
      if (call === undefined) return;
      const outcome = await this.#endCall(api.orderRunners(order, call));
      metrics.platformCall("runners", outcome.kind);
      this.#orders.recordResult(order, outcome, {
        fencing: call.fence.fencing,
        now: monotonic(),
      });
    }
  }

  /**
   * Returns the parameters of a call, or nothing if the call could outlast the
   * lease.
   */
  #beginCall(timeoutMs: number): PlatformCall | undefined {
    const { lease, name } = this.#options;
    const { fencing } = lease;
    if (fencing === undefined || !lease.mayAct(timeoutMs)) return undefined;
    if (this.#stopped) return undefined;
    lease.recordAction();
    return { fence: { holder: name, fencing }, timeoutMs };
  }

  async #endCall(call: Promise<CallOutcome>): Promise<CallOutcome> {
    try {
      return await call;
    } finally {
      this.#options.lease.recordAction();
    }
  }
}

/** Whether a state holds the decision that windows are missed. */
function isMissed(
  { last }: MissedWindows,
  { nextWindow = 0, open = [], reports }: LeaderState,
): boolean {
  if (last >= nextWindow) return false;
  const waits = open.some((window) => window <= last);
  return !waits && !reports.some(({ held, window }) => held && window <= last);
}

/**
 * Whether the store holds the counts of a report, whichever of the writes without
 * response take effect.
 */
function isFixed(
  { window, counts, held }: UsageReport,
  { possibleStates }: Pick<LeaderLease, "possibleStates">,
): boolean {
  if (!held) return true;
  return possibleStates.length > 0 && possibleStates.every(({ reports }) => {
    const other = reports.find((report) => report.window === window);
    return isDeepStrictEqual(other?.counts, counts);
  });
}
