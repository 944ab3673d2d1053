/**
 * What one daemon does for all: it reports usage and orders runners.
 *
 * @module
 */
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
  withAccepted,
} from "./usage_reports.ts";
import type { UsageSources, UsageTiming } from "./usage_reports.ts";
import type { UsageMeter } from "./usage_meter.ts";

/** Milliseconds after a start in which it shows who should lead. */
const MEET_MS = 1_000;
/** Milliseconds between two looks of a leader at what is to be done. */
const STEP_MS = 200;
/** The same of a daemon that would take over. */
const WATCH_MS = 400;
/** The same of one that would not. */
const REST_MS = 1_000;
/** Part of the lease after which it is renewed. */
const RENEW_PART = 0.4;
/**
 * Part of the lease after which a daemon that would take over looks whether a
 * leader of whom nothing is heard has renewed it. Neighbours tell sooner.
 */
const LOOK_PART = 0.6;
/** Milliseconds for a call; what has not been answered then is broken off. */
const CALL_MS = 900;
/** Milliseconds until a failed call is tried again; doubled up to the longest. */
const FIRST_RETRY_MS = 400;
const LONGEST_RETRY_MS = 3_200;

/** What a {@linkcode Leader} needs. */
export interface LeaderOptions {
  readonly name: string;
  readonly lease: LeaderLease;
  readonly leaseMs: number;
  readonly api: PlatformApi;
  /** Absent where nobody asks for usage. */
  readonly usage: {
    readonly meter: UsageMeter;
    readonly timing: UsageTiming;
    /** Whether all daemons are heard of that there were lately. */
    readonly complete: () => boolean;
  } | undefined;
  /** Absent where nobody takes orders. */
  readonly demand: ScalingPolicy | undefined;
  /** Whether this daemon should lead if nobody else does. */
  readonly eligible: () => boolean;
  /** Told when others should hear of the lease. */
  readonly leaseChanged: () => void;
  /** Epoch ms, as the fleet knows it. */
  readonly now: () => number;
  /** Steady ms. */
  readonly monotonic: () => number;
  /** In [0, 1). */
  readonly random: () => number;
  readonly log: EventLog;
  readonly metrics: LeaderMetrics;
}

/** What is counted of a leader's work. */
export type LeaderMetrics = Pick<
  RequestMetrics,
  "term" | "usageWindow" | "platformCall"
>;

/**
 * Leads while it holds the lease, and sees to it that somebody does.
 *
 * Each step, in this order: the lease is renewed, with what is to be decided
 * now; then calls are made for what stands decided in the store, one at a time
 * and only while the lease leaves time for their end. So whoever takes over
 * makes the same calls.
 */
export class Leader {
  readonly #options: LeaderOptions;
  readonly #orders: OrderTracker;
  readonly #accepted = new Set<number>();
  /** Sends of each window in this term. */
  readonly #tries = new Map<number, number>();
  #stopped = false;
  /** Ends when nothing that was begun is under way. */
  #working: Promise<void> = Promise.resolve();
  #retryMs = FIRST_RETRY_MS;
  #reportFrom = -Infinity;

  constructor(options: LeaderOptions) {
    this.#options = options;
    this.#orders = new OrderTracker(options.demand, options.log);
  }

  /** Works until {@linkcode leave}. */
  async run(): Promise<void> {
    await pause(MEET_MS, { background: true });
    while (!this.#stopped) {
      this.#working = this.#step();
      await this.#working;
      await pause(this.#restMs(), { background: true });
    }
  }

  /** Makes no further calls. */
  stop(): void {
    this.#stopped = true;
  }

  /** Hands over. */
  async leave(): Promise<void> {
    this.stop();
    await this.#working;
    await this.#options.lease.release();
    this.#options.leaseChanged();
  }

  #restMs(): number {
    const { lease, eligible, random } = this.#options;
    if (lease.held) return STEP_MS;
    // Those that would take over do not ask in step.
    return eligible() ? WATCH_MS * (0.5 + random()) : REST_MS;
  }

  async #step(): Promise<void> {
    const { lease, eligible, leaseChanged: changed, metrics } = this.#options;
    metrics.term(lease.fencing ?? 0);
    if (lease.held) return await this.#lead();
    if (!eligible()) return;
    const look = lease.isReleased ||
      lease.unchangedMs >= LOOK_PART * this.#options.leaseMs;
    if (!look) return;
    await lease.tryTake();
    if (!lease.held) return;
    this.#orders.reset();
    this.#accepted.clear();
    this.#tries.clear();
    changed();
  }

  async #lead(): Promise<void> {
    const { lease, eligible, leaseChanged: changed } = this.#options;
    if (!eligible()) {
      await lease.release();
      return changed();
    }
    const decided = this.#decide();
    const due = lease.sinceRenewalMs >= RENEW_PART * this.#options.leaseMs;
    if (decided !== undefined || due) {
      const work = this.#checkpointed(decided ?? lease.state);
      if (!await lease.update(work)) return;
      changed();
    }
    await this.#report();
    await this.#order();
  }

  /** What is to be written besides a renewal. */
  #decide(): LeaderState | undefined {
    const { lease, usage, log, metrics, monotonic: steady } = this.#options;
    let { state: work } = lease;
    const sources = this.#sources();
    const decision = sources && finalizeReports(work, sources);
    if (decision !== undefined) {
      work = decision.work;
      for (const { window, counts } of decision.fixed) {
        const requests = Object.values(counts)
          .reduce((sum, each) => sum + each, 0);
        const lives = usage?.meter.incarnations(window).size;
        metrics.usageWindow("fixed", window);
        log.event("usage_fixed", { window, requests, daemons: lives });
      }
      for (const window of decision.missed) {
        metrics.usageWindow("missed", window);
        log.event("usage_missed", { window });
      }
    }
    const orders = this.#orders.reconcile(work.orders, steady());
    if (orders !== undefined) work = { ...work, orders };
    return work === lease.state ? undefined : work;
  }

  #checkpointed(work: LeaderState): LeaderState {
    const sources = this.#sources();
    if (sources === undefined) return work;
    const checkpoint = checkpointOf(work, sources);
    return withAccepted({ ...work, checkpoint }, this.#accepted);
  }

  #sources(): UsageSources | undefined {
    const { usage, now } = this.#options;
    if (usage === undefined) return undefined;
    const { meter, timing, complete } = usage;
    return { meter, timing, now: now(), complete: complete() };
  }

  /** Sends one report that the platform has not taken. */
  async #report(): Promise<void> {
    const { api, monotonic: steady, log, metrics } = this.#options;
    const report = this.#nextReport();
    if (report === undefined || steady() < this.#reportFrom) return;
    const call = this.#call();
    if (call === undefined) return;
    this.#tries.set(report.window, this.#triesOf(report) + 1);
    const end = await this.#made(api.reportUsage(report, call));
    log.event("usage_reported", {
      window: report.window,
      fencing: call.fence.fencing,
      end: end.kind,
      reason: end.kind === "failed" ? end.reason : undefined,
    });
    metrics.platformCall("usage", end.kind);
    if (end.kind === "accepted") {
      metrics.usageWindow("accepted", report.window);
      this.#accepted.add(report.window);
      this.#retryMs = FIRST_RETRY_MS;
      return;
    }
    this.#reportFrom = steady() + this.#retryMs;
    this.#retryMs = Math.min(LONGEST_RETRY_MS, 2 * this.#retryMs);
  }

  /** The one that was tried least, so that one that is refused holds up none. */
  #nextReport(): UsageReport | undefined {
    let next: UsageReport | undefined;
    for (const each of this.#options.lease.state.reports) {
      if (!this.#isOpen(each)) continue;
      const less = next === undefined ||
        this.#triesOf(each) < this.#triesOf(next);
      if (less) next = each;
    }
    return next;
  }

  #triesOf({ window }: UsageReport): number {
    return this.#tries.get(window) ?? 0;
  }

  #isOpen({ window, accepted }: UsageReport): boolean {
    return !accepted && !this.#accepted.has(window);
  }

  /** Sends the orders that are due, one after the other. */
  async #order(): Promise<void> {
    const { lease, api, monotonic: steady, metrics } = this.#options;
    for (const order of this.#orders.due(lease.state.orders, steady())) {
      const call = this.#call();
      if (call === undefined) return;
      const end = await this.#made(api.orderRunners(order, call));
      metrics.platformCall("runners", end.kind);
      this.#orders.recordResult(order, end, {
        fencing: call.fence.fencing,
        now: steady(),
      });
    }
  }

  /** The right to a call, if the lease leaves time for it. */
  #call(): PlatformCall | undefined {
    const { lease, name } = this.#options;
    const { fencing } = lease;
    if (fencing === undefined || !lease.mayAct(CALL_MS)) return undefined;
    if (this.#stopped) return undefined;
    lease.recordAction();
    return { fence: { holder: name, fencing }, timeoutMs: CALL_MS };
  }

  async #made(call: Promise<CallOutcome>): Promise<CallOutcome> {
    const end = await call;
    this.#options.lease.recordAction();
    return end;
  }
}
