/**
 * Admission control: estimates an ask's cost and latest start time and refuses
 * early the asks that cannot start in time.
 *
 * @module
 */
import type { Row } from "@umbermast/table";
import { CostEstimator, costOf } from "./cost_estimator.ts";
import { DecayedQuantile } from "./decayed_quantile.ts";
import type { FairQueue } from "./fair_queue.ts";
import type { AskMessage, HeldSlot, RefuseMessage } from "./messages.ts";
import type { RunnerFeedback } from "./runner_feedback.ts";
import type { RunnerPool } from "./runner_pool.ts";
import { ServiceRate } from "./service_rate.ts";
import type { Settlement } from "./settlement.ts";
import type { SchedulerSwitches } from "./switches.ts";
import type { WaitingAsk } from "./waiting_ask.ts";

/** Cost of every ask when costs are not estimated, in tokens of output. */
const DEFAULT_COST = 100;
/** Size of an ask without its list of excluded runners. */
const ASK_BASE_BYTES = 300;
/** An ask is refused early if its wait exceeds its remaining time by this factor. */
const EARLY_REFUSAL_FACTOR = 1.25;
/** Share of requests whose time to the first token is within the margin. */
const FIRST_TOKEN_QUANTILE = 0.9;
/** Step of the quantile estimate per observation. */
const FIRST_TOKEN_QUANTILE_STEP = 0.2;
/** Bounds of the margin for the first token, as fractions of the target. */
const MIN_MARGIN = 0.2;
const MAX_MARGIN = 0.9;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;
const MS_PER_SECOND = 1_000;

/** Dependencies of admission control. */
export interface AdmissionDependencies {
  readonly queue: FairQueue;
  readonly pool: RunnerPool;
  readonly feedback: RunnerFeedback;
  readonly switches: SchedulerSwitches;
}

/** Why an ask is refused, and when to retry. */
export type Refusal = Pick<RefuseMessage, "code" | "retryAfterMs">;

/** Estimates asks from the outcomes of earlier ones. */
export class AdmissionControl {
  readonly #dependencies: AdmissionDependencies;
  readonly #costEstimator = new CostEstimator();
  readonly #serviceRate = new ServiceRate();
  readonly #firstTokenQuantiles = new Map<string, DecayedQuantile>();

  constructor(dependencies: AdmissionDependencies) {
    this.#dependencies = dependencies;
  }

  /** Adds the estimates to an ask that an entry has just sent. */
  estimate(
    entry: string,
    received: { readonly ask: AskMessage; readonly now: number },
  ): WaitingAsk {
    const { ask, now } = received;
    const arrivedAt = now - ask.waitedMs;
    return {
      ask,
      entry,
      cost: this.costOf(ask),
      bytes: ASK_BASE_BYTES + ask.excluded.join().length,
      arrivedAt,
      deadlineAt: now + ask.remainingMs,
      startBy: this.#startBy(ask, arrivedAt),
    };
  }

  /** Estimated cost of an ask, in tokens of output. */
  costOf(
    ask: Omit<HeldSlot, "runner"> & Pick<AskMessage, "maxTokens">,
  ): number {
    if (!this.#dependencies.switches.costEstimate) return DEFAULT_COST;
    const expected = this.#costEstimator.expectedOutputTokens(
      ask.workspace,
      ask.class,
    );
    return costOf(
      ask.promptTokens,
      Math.min(expected, ask.maxTokens ?? Infinity),
    );
  }

  /**
   * Updates the estimates from an attempt that has ended.
   *
   * @returns the actual cost of the attempt.
   */
  recordSettlement(
    slot: HeldSlot,
    end: { readonly settlement: Settlement; readonly now: number },
  ): number {
    const { promptTokens, outputTokens, outcome } = end.settlement;
    const cost = costOf(promptTokens, outputTokens);
    this.#recordFirstToken(slot.class, end.settlement.firstTokenMs);
    const backlogged = this.#dependencies.queue.length > 0;
    this.#serviceRate.record(cost, { now: end.now, backlogged });
    if (outcome === "complete") {
      this.#costEstimator.recordOutput(slot.workspace, {
        class: slot.class,
        outputTokens,
      });
    }
    return cost;
  }

  /** The refusal of an ask that cannot get a slot in time; `undefined` if it may. */
  earlyRefusal(
    waiting: WaitingAsk,
    at: { readonly now: number; readonly row: Row | undefined },
  ): Refusal | undefined {
    if (!this.#dependencies.switches.earlyRefusal) return undefined;
    const { queue } = this.#dependencies;
    const budgetMs = (waiting.deadlineAt - at.now) * EARLY_REFUSAL_FACTOR;
    const limitWaitMs = this.#rateLimitWaitMs(waiting, at.row);
    if (limitWaitMs > budgetMs) {
      return {
        code: "limit_reached",
        retryAfterMs: clampRetryAfter(limitWaitMs),
      };
    }
    // A higher tier is never refused while a lower one waits.
    const { workspace, class: className } = waiting.ask;
    if (queue.length === 0 || queue.hasLowerTier(queue.tierOf(className))) {
      return undefined;
    }
    const rate = this.#serviceRate.perSecond;
    if (rate === undefined || rate <= 0) return undefined;
    const waitMs = queue.costAhead(workspace, className) / rate * MS_PER_SECOND;
    if (waitMs <= budgetMs) return undefined;
    return { code: "queue_full", retryAfterMs: clampRetryAfter(waitMs) };
  }

  /** Latest start time at which the ask's response meets the class's target. */
  #startBy(ask: AskMessage, arrivedAt: number): number {
    const { pool, feedback } = this.#dependencies;
    const target = pool.classOf(ask.class)?.target;
    const latestStarts: number[] = [];
    if (target?.firstTokenMs !== undefined) {
      latestStarts.push(
        target.firstTokenMs -
          this.#firstTokenMargin(ask.class, target.firstTokenMs),
      );
    }
    if (target?.wholeAnswerMs !== undefined) {
      const tokens = this.#costEstimator.expectedOutputTokens(
        ask.workspace,
        ask.class,
      );
      latestStarts.push(
        target.wholeAnswerMs - tokens * feedback.medianStepMs(),
      );
    }
    return arrivedAt + Math.min(Infinity, ...latestStarts);
  }

  /** Time reserved for the first token, from recent observations. */
  #firstTokenMargin(className: string, targetMs: number): number {
    const observed = this.#firstTokenQuantiles.get(className)?.value ?? 0;
    return Math.min(
      targetMs * MAX_MARGIN,
      Math.max(targetMs * MIN_MARGIN, observed),
    );
  }

  #recordFirstToken(className: string, firstTokenMs: number | undefined): void {
    if (firstTokenMs === undefined) return;
    const quantile = this.#firstTokenQuantiles.get(className) ??
      new DecayedQuantile(FIRST_TOKEN_QUANTILE, FIRST_TOKEN_QUANTILE_STEP);
    quantile.observe(firstTokenMs);
    this.#firstTokenQuantiles.set(className, quantile);
  }

  /** Time that the ask must wait for the rate limits of its row. */
  #rateLimitWaitMs(waiting: WaitingAsk, row: Row | undefined): number {
    const { count, cost } = this.#dependencies.queue.backlog(waiting.ask);
    return Math.max(
      count / (row?.requestsPerSecond ?? Infinity),
      cost / (row?.tokensPerSecond ?? Infinity),
    ) * MS_PER_SECOND;
  }
}

function clampRetryAfter(waitMs: number): number {
  return Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)),
  );
}
