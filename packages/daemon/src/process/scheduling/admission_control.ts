/**
 * What an ask will cost, by when it must start, and whether it can.
 *
 * @module
 */
import type { Row } from "@umbermast/table";
import { CostEstimator, costOf } from "./cost_estimator.ts";
import { DecayedQuantile } from "./decayed_quantile.ts";
import type { FairQueue } from "./fair_queue.ts";
import type { AskMessage, HeldSlot, RefuseMessage } from "./messages.ts";
import type { RunnerLearning } from "./runner_feedback.ts";
import type { RunnerPool } from "./runner_pool.ts";
import { ServiceRate } from "./service_rate.ts";
import type { Settlement } from "./settlement.ts";
import type { SchedulerSwitches } from "./switches.ts";
import type { Waiting } from "./waiting_ask.ts";

const FIXED_COST = 100;
const BYTES_OF_ASK = 300;
/** A refusal on arrival needs a wait this many times what is left. */
const HOPELESS = 1.25;
/** First tokens come within the margin for this share of the requests. */
const FIRST_TOKEN_QUANTILE = 0.9;
const FIRST_TOKEN_STEP = 0.2;
/** Bounds of the margin, as shares of the target. */
const LEAST_MARGIN = 0.2;
const MOST_MARGIN = 0.9;
const LEAST_RETRY_MS = 100;
const MOST_RETRY_MS = 30_000;
const SECOND_MS = 1_000;

/** What an appraisal works with. */
export interface AppraisalParts {
  readonly queue: FairQueue;
  readonly pool: RunnerPool;
  readonly learning: RunnerLearning;
  readonly switches: SchedulerSwitches;
}

/** Why an ask is refused, and when to come back. */
export type Verdict = Pick<RefuseMessage, "code" | "retryAfterMs">;

/** Appraises asks by what earlier ones came to. */
export class AskAppraisal {
  readonly #parts: AppraisalParts;
  readonly #costs = new CostEstimator();
  readonly #rate = new ServiceRate();
  readonly #firstTokens = new Map<string, DecayedQuantile>();

  constructor(parts: AppraisalParts) {
    this.#parts = parts;
  }

  /** Describes an ask that comes from an entry now. */
  describe(
    entry: string,
    asked: { readonly ask: AskMessage; readonly now: number },
  ): Waiting {
    const { ask, now } = asked;
    const arrivedAt = now - ask.waitedMs;
    return {
      ask,
      entry,
      cost: this.costOf(ask),
      bytes: BYTES_OF_ASK + ask.excluded.join().length,
      arrivedAt,
      deadlineAt: now + ask.remainingMs,
      startBy: this.#startBy(ask, arrivedAt),
    };
  }

  /** Estimated cost, in tokens of output. */
  costOf(
    ask: Omit<HeldSlot, "runner"> & Pick<AskMessage, "maxTokens">,
  ): number {
    if (!this.#parts.switches.costEstimate) return FIXED_COST;
    const expected = this.#costs.output(ask.workspace, ask.class);
    return costOf(
      ask.promptTokens,
      Math.min(expected, ask.maxTokens ?? Infinity),
    );
  }

  /**
   * Learns from an ended attempt.
   *
   * @returns its true cost.
   */
  learn(
    slot: HeldSlot,
    end: { readonly settlement: Settlement; readonly now: number },
  ): number {
    const { promptTokens, outputTokens, outcome } = end.settlement;
    const cost = costOf(promptTokens, outputTokens);
    this.#learnFirstToken(slot.class, end.settlement.firstTokenMs);
    const backlogged = this.#parts.queue.length > 0;
    this.#rate.served(cost, { now: end.now, backlogged });
    if (outcome === "complete") {
      this.#costs.learn(slot.workspace, { class: slot.class, outputTokens });
    }
    return cost;
  }

  /** Why no slot will come in time, when that is known on arrival. */
  hopeless(
    waiting: Waiting,
    at: { readonly now: number; readonly row: Row | undefined },
  ): Verdict | undefined {
    if (!this.#parts.switches.earlyRefusal) return undefined;
    const { queue } = this.#parts;
    const left = (waiting.deadlineAt - at.now) * HOPELESS;
    const limitMs = this.#limitWait(waiting, at.row);
    if (limitMs > left) {
      return { code: "limit_reached", retryAfterMs: retryAfter(limitMs) };
    }
    // A higher tier is never turned away while a lower one waits.
    const { workspace, class: className } = waiting.ask;
    if (queue.length === 0 || queue.hasBelow(queue.tierOf(className))) {
      return undefined;
    }
    const rate = this.#rate.perSecond;
    if (rate === undefined || rate <= 0) return undefined;
    const waitMs = queue.costAhead(workspace, className) / rate * SECOND_MS;
    if (waitMs <= left) return undefined;
    return { code: "queue_full", retryAfterMs: retryAfter(waitMs) };
  }

  /** When the ask must start for its answer to meet the class's target. */
  #startBy(ask: AskMessage, arrivedAt: number): number {
    const { pool, learning } = this.#parts;
    const target = pool.classOf(ask.class)?.target;
    const bounds: number[] = [];
    if (target?.firstTokenMs !== undefined) {
      bounds.push(
        target.firstTokenMs - this.#margin(ask.class, target.firstTokenMs),
      );
    }
    if (target?.wholeAnswerMs !== undefined) {
      const tokens = this.#costs.output(ask.workspace, ask.class);
      bounds.push(target.wholeAnswerMs - tokens * learning.medianStepMs());
    }
    return arrivedAt + Math.min(Infinity, ...bounds);
  }

  /** Time from the grant to the first token, as lately observed. */
  #margin(className: string, targetMs: number): number {
    const observed = this.#firstTokens.get(className)?.value ?? 0;
    return Math.min(
      targetMs * MOST_MARGIN,
      Math.max(targetMs * LEAST_MARGIN, observed),
    );
  }

  #learnFirstToken(className: string, firstTokenMs: number | undefined): void {
    if (firstTokenMs === undefined) return;
    const known = this.#firstTokens.get(className) ??
      new DecayedQuantile(FIRST_TOKEN_QUANTILE, FIRST_TOKEN_STEP);
    known.observe(firstTokenMs);
    this.#firstTokens.set(className, known);
  }

  /** Milliseconds that the row's own rates make the ask wait. */
  #limitWait(waiting: Waiting, row: Row | undefined): number {
    const { count, cost } = this.#parts.queue.backlog(waiting.ask);
    return Math.max(
      count / (row?.requestsPerSecond ?? Infinity),
      cost / (row?.tokensPerSecond ?? Infinity),
    ) * SECOND_MS;
  }
}

function retryAfter(waitMs: number): number {
  return Math.round(Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, waitMs)));
}
