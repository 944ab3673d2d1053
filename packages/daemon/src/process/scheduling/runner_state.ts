/**
 * The state of one runner at a broker.
 *
 * @module
 */
import { Ejection } from "./ejection.ts";
import type { LoadReport } from "./load_reports.ts";
import type { HeldSlot } from "./messages.ts";
import { SlotLimit } from "./slot_limit.ts";

/** A granted slot that is in use. */
export interface GrantedSlot extends HeldSlot {
  /** Name of the entry daemon that uses the slot. */
  readonly entry: string;
  /** Charged cost, in tokens of output. */
  readonly cost: number;
  /** Monotonic milliseconds of the grant. */
  readonly grantedAt: number;
  /** Epoch of the ask, for resending the grant; 0 for an adopted slot. */
  readonly epoch: number;
}

/** Reports older than this are not used to estimate other brokers' requests. */
const REPORT_MAX_AGE_MS = 2_000;
/** Window over which the peak of own requests is kept, because reports lag. */
const LAG_WINDOW_MS = 1_500;
/** Weight of a new observation in the average time between tokens. */
const STEP_SMOOTHING = 0.3;

/** Slots in use at one runner, its last load report and its observed latency. */
export class RunnerState {
  readonly limit: SlotLimit;
  readonly ejection = new Ejection();
  readonly #held = new Map<string, GrantedSlot>();
  readonly #countByClass = new Map<string, number>();
  #peak = 0;
  #previousPeak = 0;
  #windowStartedAt = 0;
  #stepMs: number | undefined;
  #report: LoadReport | undefined;

  constructor(slots: number) {
    this.limit = new SlotLimit(slots);
  }

  /** Number of slots granted by this broker and in use. */
  get inFlight(): number {
    return this.#held.size;
  }

  /** Smoothed milliseconds between tokens; `undefined` before the first. */
  get stepMs(): number | undefined {
    return this.#stepMs;
  }

  get report(): LoadReport | undefined {
    return this.#report;
  }

  get held(): ReadonlyMap<string, GrantedSlot> {
    return this.#held;
  }

  /** Classes of the requests at this runner. */
  get classes(): readonly string[] {
    return [...this.#countByClass.keys()];
  }

  hold(held: GrantedSlot): void {
    if (this.#held.has(held.askId)) return;
    this.#held.set(held.askId, held);
    this.#countByClass.set(
      held.class,
      (this.#countByClass.get(held.class) ?? 0) + 1,
    );
    this.#peak = Math.max(this.#peak, this.inFlight);
  }

  free(askId: string): GrantedSlot | undefined {
    const held = this.#held.get(askId);
    if (held === undefined) return undefined;
    this.#held.delete(askId);
    const remaining = (this.#countByClass.get(held.class) ?? 1) - 1;
    if (remaining > 0) this.#countByClass.set(held.class, remaining);
    else this.#countByClass.delete(held.class);
    return held;
  }

  setReport(report: LoadReport): void {
    this.#report = report;
    if (report.stepMs > 0 && report.running > 0) {
      this.observeStep(report.stepMs);
    }
  }

  /** Discards the average time between tokens. */
  resetStep(): void {
    this.#stepMs = undefined;
  }

  /** Adds one time between tokens to the average. */
  observeStep(stepMs: number): void {
    const smoothed = this.#stepMs ?? stepMs;
    this.#stepMs = smoothed + (stepMs - smoothed) * STEP_SMOOTHING;
  }

  /**
   * Estimated number of other brokers' requests: the reported requests in excess
   * of this broker's own peak in the time in which the report may have been made.
   * At least one slot is always left, so that a wrong report cannot block the
   * runner.
   */
  foreignRequests(now: number): number {
    this.#rotatePeakWindow(now);
    const report = this.#report;
    if (report === undefined) return 0;
    if (now - report.receivedAt > REPORT_MAX_AGE_MS) return 0;
    const ownPeak = Math.max(this.#peak, this.#previousPeak);
    const excess = report.running + report.waiting - ownPeak;
    return Math.max(0, Math.min(excess, this.limit.slots - 1));
  }

  /** Number of slots that can still be granted. */
  freeSlots(now: number): number {
    return this.limit.slots - this.inFlight - this.foreignRequests(now);
  }

  /** Slots in use as a fraction of the limit. */
  occupancy(now: number): number {
    return (this.inFlight + this.foreignRequests(now)) / this.limit.slots;
  }

  #rotatePeakWindow(now: number): void {
    if (now - this.#windowStartedAt < LAG_WINDOW_MS) return;
    this.#windowStartedAt = now;
    this.#previousPeak = this.#peak;
    this.#peak = this.inFlight;
  }
}
