/**
 * What a broker knows of one runner.
 *
 * @module
 */
import { Ejection } from "./ejection.ts";
import type { LoadReport } from "./load_reports.ts";
import type { HeldSlot } from "./messages.ts";
import { SlotLimit } from "./slot_limit.ts";

/** A slot that is in use. */
export interface GrantedSlot extends HeldSlot {
  /** Daemon that uses it. */
  readonly entry: string;
  /** Charged cost, in tokens of output. */
  readonly cost: number;
  /** Monotonic milliseconds of the grant. */
  readonly grantedAt: number;
  /** Epoch of the ask, for sending the grant again; 0 for an adopted slot. */
  readonly epoch: number;
}

/** A report older than this says nothing of other brokers' work. */
const REPORT_MAX_AGE_MS = 2_000;
/** Own requests are remembered this long, as reports lag. */
const LAG_WINDOW_MS = 1_500;
const STEP_SMOOTHING = 0.3;

/** Slots in use at one runner, and what was observed of it. */
export class RunnerState {
  readonly limit: SlotLimit;
  readonly ejection = new Ejection();
  readonly #held = new Map<string, GrantedSlot>();
  readonly #byClass = new Map<string, number>();
  #peak = 0;
  #previousPeak = 0;
  #peakSince = 0;
  #stepMs: number | undefined;
  #report: LoadReport | undefined;

  constructor(slots: number) {
    this.limit = new SlotLimit(slots);
  }

  /** Slots in use through this broker. */
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

  /** Classes that have requests here. */
  get classes(): readonly string[] {
    return [...this.#byClass.keys()];
  }

  hold(held: GrantedSlot): void {
    if (this.#held.has(held.askId)) return;
    this.#held.set(held.askId, held);
    this.#byClass.set(held.class, (this.#byClass.get(held.class) ?? 0) + 1);
    this.#peak = Math.max(this.#peak, this.inFlight);
  }

  free(askId: string): GrantedSlot | undefined {
    const held = this.#held.get(askId);
    if (held === undefined) return undefined;
    this.#held.delete(askId);
    const remaining = (this.#byClass.get(held.class) ?? 1) - 1;
    if (remaining > 0) this.#byClass.set(held.class, remaining);
    else this.#byClass.delete(held.class);
    return held;
  }

  setReport(report: LoadReport): void {
    this.#report = report;
    if (report.stepMs > 0 && report.running > 0) {
      this.observeStep(report.stepMs);
    }
  }

  /** Forgets the times between tokens. */
  resetStep(): void {
    this.#stepMs = undefined;
  }

  /** Learns one time between tokens. */
  observeStep(stepMs: number): void {
    const smoothed = this.#stepMs ?? stepMs;
    this.#stepMs = smoothed + (stepMs - smoothed) * STEP_SMOOTHING;
  }

  /**
   * Requests of other brokers here, by the report: what it tells beyond the
   * most that this broker had here while the report may have been made. Never
   * so many that no slot is left, so that a wrong report cannot close a runner.
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

  /** Slots that may still be given. */
  freeSlots(now: number): number {
    return this.limit.slots - this.inFlight - this.foreignRequests(now);
  }

  /** Slots in use in proportion to the limit. */
  occupancy(now: number): number {
    return (this.inFlight + this.foreignRequests(now)) / this.limit.slots;
  }

  #rotatePeakWindow(now: number): void {
    if (now - this.#peakSince < LAG_WINDOW_MS) return;
    this.#peakSince = now;
    this.#previousPeak = this.#peak;
    this.#peak = this.inFlight;
  }
}
