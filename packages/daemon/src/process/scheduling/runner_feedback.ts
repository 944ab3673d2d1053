/**
 * What is learned of runners from reports and settled attempts: how many slots
 * they bear, and which of them fail or straggle.
 *
 * @module
 */
import type { LoadReport } from "./load_reports.ts";
import type { RunnerPool } from "./runner_pool.ts";
import type { GrantedSlot, RunnerState } from "./runner_state.ts";
import type { Settlement } from "./settlement.ts";
import type { LatencyRatios } from "./slot_limit.ts";
import type { SchedulerSwitches } from "./switches.ts";

/** A runner that takes this many times the median between tokens is ejected. */
const STRAGGLER_FACTOR = 2.5;
/** Steps shorter than this are noise, whatever their proportion. */
const STRAGGLER_MIN_STEP_MS = 6;
const DEFAULT_STEP_MS = 10;
/**
 * Share of the time to the first token that may pass at the runner; the rest is
 * for the queue, where waiting can still be put in another order.
 */
const RUNNER_FIRST_TOKEN_SHARE = 0.4;

/** How an attempt ended, and when. */
export interface AttemptEnd {
  readonly settlement: Settlement;
  readonly now: number;
}

/** Watches the runners of a pool. */
export class RunnerFeedback {
  readonly #pool: RunnerPool;
  readonly #switches: SchedulerSwitches;

  constructor(pool: RunnerPool, switches: SchedulerSwitches) {
    this.#pool = pool;
    this.#switches = switches;
  }

  /** Learns a report. */
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

  /** Gives a slot back and learns from how its attempt went. */
  recordSettlement(held: GrantedSlot, end: AttemptEnd): void {
    const state = this.#pool.state(held.runner);
    const saturated = state.freeSlots(end.now) <= 0;
    if (state.free(held.askId) === undefined) return;
    const { settlement, now } = end;
    const { outcome } = settlement;
    if (outcome === "failed" || outcome === "silent" || outcome === "refused") {
      // A runner that crashed answers nothing; without ejection its slots free
      // at once and it draws every following request in turn.
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

  /** The median time between tokens over the runners; a guess without any. */
  medianStepMs(): number {
    return this.#median(this.#pool.live().map((it) => it.name)) ??
      DEFAULT_STEP_MS;
  }

  #recordStep(state: RunnerState, settlement: Settlement): void {
    const { betweenTokensMs } = settlement;
    if (betweenTokensMs === undefined) return;
    // What was smoothed before the ejection would condemn the probe as well.
    if (state.ejection.cause !== undefined) state.resetStep();
    state.observeStep(betweenTokensMs);
  }

  /** Observed latencies over their targets. */
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

  /** The tightest time between tokens promised to what runs there. */
  #tightestTarget(state: RunnerState): number | undefined {
    const targets = state.classes
      .map((name) => this.#pool.classOf(name)?.target.betweenTokensMs)
      .filter((it) => it !== undefined);
    return targets.length === 0 ? undefined : Math.min(...targets);
  }

  /** Ejects a straggler, or lets back one whose probe went well. */
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
    const others = this.#pool.live().map((it) => it.name)
      .filter((it) => it !== runner);
    const median = this.#median(others);
    if (ownStepMs === undefined || median === undefined) return false;
    return ownStepMs > STRAGGLER_MIN_STEP_MS &&
      ownStepMs > median * STRAGGLER_FACTOR;
  }

  #median(runners: readonly string[]): number | undefined {
    const steps = runners
      .map((it) => this.#pool.state(it).stepMs)
      .filter((it) => it !== undefined)
      .sort((left, right) => left - right);
    return steps[steps.length >> 1];
  }

  /**
   * Whether no other runner is in use. The last one stays: a service that has
   * ejected all of its runners would refuse what one of them might serve.
   */
  #isLastInService(runner: string): boolean {
    return this.#pool.live().every((it) =>
      it.name === runner ||
      this.#pool.state(it.name).ejection.cause !== undefined
    );
  }

  /** At most half may be out: a slow median is congestion, not a straggler. */
  #mayEject(): boolean {
    const live = this.#pool.live();
    const ejected = live.filter((it) =>
      this.#pool.state(it.name).ejection.cause !== undefined
    );
    return (ejected.length + 1) * 2 <= live.length;
  }
}
