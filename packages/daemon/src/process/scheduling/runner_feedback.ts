/**
 * Feedback from load reports and settled attempts: adapts the number of slots of
 * each runner and ejects runners that fail or are slow.
 *
 * @module
 */
import type { LoadReport } from "./load_reports.ts";
import type { RunnerPool } from "./runner_pool.ts";
import type { GrantedSlot, RunnerState } from "./runner_state.ts";
import type { Settlement } from "./settlement.ts";
import type { LatencyRatios } from "./slot_limit.ts";
import type { SchedulerSwitches } from "./switches.ts";

/** Multiple of the median time between tokens above which a runner is ejected. */
const STRAGGLER_FACTOR = 2.5;
/** Steps shorter than this are noise, whatever their ratio to the median. */
const STRAGGLER_MIN_STEP_MS = 6;
/** Assumed time between tokens before the first observation. */
const DEFAULT_STEP_MS = 10;
/**
 * Share of the target for the time to the first token that is available to the
 * runner. The rest is for the broker's queue, where asks can still be reordered.
 */
const RUNNER_FIRST_TOKEN_SHARE = 0.4;

/** Settlement of an attempt and the time of its end. */
export interface AttemptEnd {
  readonly settlement: Settlement;
  readonly now: number;
}

/** Adapts and ejects the runners of a pool. */
export class RunnerFeedback {
  readonly #pool: RunnerPool;
  readonly #switches: SchedulerSwitches;

  constructor(pool: RunnerPool, switches: SchedulerSwitches) {
    this.#pool = pool;
    this.#switches = switches;
  }

  /** Applies a load report. */
  recordReport(runner: string, report: LoadReport, now: number): void {
    const state = this.#pool.state(runner);
    state.setReport(report);
    if (this.#switches.adaptiveSlots) state.limit.setCapacity(report.slots);
    if (report.stepMs <= 0 || report.running === 0) return;
    const target = this.#tightestTarget(state);
    if (this.#switches.adaptiveSlots && target !== undefined) {
      const saturated = state.freeSlots(now) <= 0;
      state.limit.observe({ between: report.stepMs / target }, {
        now,
        saturated,
      });
    }
    this.#updateEjection(runner, now);
  }

  /** Frees a slot and applies the settlement of its attempt. */
  recordSettlement(held: GrantedSlot, end: AttemptEnd): void {
    const state = this.#pool.state(held.runner);
    const saturated = state.freeSlots(end.now) <= 0;
    if (state.free(held.askId) === undefined) return;
    const { settlement, now } = end;
    const { outcome } = settlement;
    if (outcome === "failed" || outcome === "silent" || outcome === "refused") {
      // Requests fail at once at a crashed runner. Without ejection its slots
      // would be free again immediately and attract every following request.
      if (this.#switches.ejection && !this.#isLastInService(held.runner)) {
        state.ejection.eject("failure", now);
      }
      return;
    }
    this.#recordStep(state, settlement);
    if (this.#switches.adaptiveSlots) {
      const ratios = this.#latencyRatios(state, { held, settlement });
      state.limit.observe(ratios, { now, saturated });
    }
    if (outcome === "complete") {
      this.#updateEjection(held.runner, now, held.askId);
    } else state.ejection.requestEnded(held.askId);
  }

  /** Median time between tokens over the runners; a default without data. */
  medianStepMs(): number {
    return this.#median(this.#pool.live().map((runner) => runner.name)) ??
      DEFAULT_STEP_MS;
  }

  #recordStep(state: RunnerState, settlement: Settlement): void {
    const { betweenTokensMs } = settlement;
    if (betweenTokensMs === undefined) return;
    // The average from before the ejection would make the probe fail as well.
    if (state.ejection.cause !== undefined) state.resetStep();
    state.observeStep(betweenTokensMs);
  }

  /** Ratios of the observed latencies to their targets. */
  #latencyRatios(
    state: RunnerState,
    end: { readonly held: GrantedSlot; readonly settlement: Settlement },
  ): LatencyRatios {
    const { firstTokenMs, betweenTokensMs } = end.settlement;
    const target = this.#pool.classOf(end.held.class)?.target;
    const first = target?.firstTokenMs ?? target?.wholeAnswerMs;
    const between = this.#tightestTarget(state) ?? target?.betweenTokensMs;
    return {
      ...(firstTokenMs === undefined || first === undefined
        ? {}
        : { first: firstTokenMs / (first * RUNNER_FIRST_TOKEN_SHARE) }),
      ...(betweenTokensMs === undefined || between === undefined
        ? {}
        : { between: betweenTokensMs / between }),
    };
  }

  /** Tightest target for the time between tokens of the runner's requests. */
  #tightestTarget(state: RunnerState): number | undefined {
    const targets = state.classes
      .map((name) => this.#pool.classOf(name)?.target.betweenTokensMs)
      .filter((target) => target !== undefined);
    return targets.length === 0 ? undefined : Math.min(...targets);
  }

  /** Ejects a straggler, or restores a runner whose probe succeeded. */
  #updateEjection(runner: string, now: number, probe?: string): void {
    if (!this.#switches.ejection) return;
    const { ejection } = this.#pool.state(runner);
    const { cause } = ejection;
    const slow = this.#isStraggler(runner);
    if (slow && cause === undefined && this.#mayEject()) {
      ejection.eject("straggler", now);
    }
    if (probe === undefined || cause === undefined) return;
    if (slow) ejection.eject("straggler", now);
    else ejection.restore();
  }

  #isStraggler(runner: string): boolean {
    const ownStepMs = this.#pool.state(runner).stepMs;
    const others = this.#pool.live().map((other) => other.name)
      .filter((other) => other !== runner);
    const median = this.#median(others);
    if (ownStepMs === undefined || median === undefined) return false;
    return ownStepMs > STRAGGLER_MIN_STEP_MS &&
      ownStepMs > median * STRAGGLER_FACTOR;
  }

  #median(runners: readonly string[]): number | undefined {
    const steps = runners
      .map((runner) => this.#pool.state(runner).stepMs)
      .filter((stepMs) => stepMs !== undefined)
      .sort((left, right) => left - right);
    return steps[steps.length >> 1];
  }

  /**
   * Whether all other live runners are ejected. The last one is never ejected: a
   * service without runners would refuse requests that this one might serve.
   */
  #isLastInService(runner: string): boolean {
    return this.#pool.live().every((other) =>
      other.name === runner ||
      this.#pool.state(other.name).ejection.cause !== undefined
    );
  }

  /** Whether one more may be ejected: at most half, as most being slow is congestion. */
  #mayEject(): boolean {
    const live = this.#pool.live();
    const ejected = live.filter((runner) =>
      this.#pool.state(runner.name).ejection.cause !== undefined
    );
    return (ejected.length + 1) * 2 <= live.length;
  }
}
