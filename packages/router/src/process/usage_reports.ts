/**
 * Decides when the request counts of a usage window, a fixed period of time, are
 * final and are reported to the platform.
 *
 * @module
 */
import type {
  LeaderState,
  UsageCheckpoint,
  UsageReport,
} from "./leader_record.ts";
import type { Counts, UsageMeter } from "./usage_meter.ts";

/**
 * The counts of a window are finalized when this fraction of the reporting delay
 * has passed since its end, while all daemons are reachable. The rest of the delay
 * is time for a successor to send the report if the leader fails.
 */
const FINALIZE_FRACTION = 0.45;
/**
 * The same fraction while some daemons are unreachable. A daemon that is
 * partitioned from the others for some seconds still serves its callers, and
 * sends its counts when it is reconnected.
 */
const INCOMPLETE_FINALIZE_FRACTION = 0.75;
/** Accepted reports that are kept for inspection by operators. */
const MAX_ACCEPTED = 2;
/** Maximum number of pending reports; the oldest are dropped first. */
const MAX_PENDING = 24;

/** Length of usage windows, and when their reports are due. */
export interface UsageTiming {
  readonly windowMs: number;
  /** Milliseconds after the end of a window by which its report is due. */
  readonly delayMs: number;
}

/** Inputs of {@linkcode finalizeReports} and {@linkcode checkpointOf}. */
export interface UsageSources {
  readonly meter: UsageMeter;
  readonly timing: UsageTiming;
  /** Current time in epoch ms, as the daemons estimate it together. */
  readonly now: number;
  /** Whether all daemons that were recently in the fleet are reachable. */
  readonly complete: boolean;
}

/** New reports, and the leader's state that includes them. */
export interface UsageDecision {
  readonly state: LeaderState;
  readonly finalized: readonly UsageReport[];
  /** Windows that are too old to be reported. */
  readonly missed: readonly number[];
}

/**
 * Finalizes the counts of all windows whose finalizing time has passed.
 *
 * @returns undefined if there is no such window; at the first call ever, a state
 * that starts with the current window.
 *
 * @example
 * ```ts
 * const sources = { meter, timing, now: time.now(), complete: true };
 * const decision = finalizeReports(lease.state, sources);
 * if (decision !== undefined) await lease.update(decision.state);
 * ```
 */
export function finalizeReports(
  state: LeaderState,
  sources: UsageSources,
): UsageDecision | undefined {
  const { windowMs, delayMs } = sources.timing;
  const current = Math.floor(sources.now / windowMs);
  if (state.nextWindow === undefined) {
    return {
      state: { ...state, nextWindow: current },
      finalized: [],
      missed: [],
    };
  }
  const fraction = sources.complete
    ? FINALIZE_FRACTION
    : INCOMPLETE_FINALIZE_FRACTION;
  const last = lastWindowToFinalize(sources.timing, sources.now, fraction);
  if (last < state.nextWindow) return undefined;
  // A report that is one window late is still useful. Older windows are missed:
  // the meter keeps counts for a limited number of windows only.
  const windowsUntilDue = Math.ceil((windowMs + delayMs) / windowMs);
  const first = Math.max(state.nextWindow, current - windowsUntilDue - 1);
  const missed = range(state.nextWindow, Math.min(first, last + 1));
  const finalized = range(first, last + 1).map((window): UsageReport => ({
    window,
    counts: countsOf(window, state.checkpoint, sources.meter),
    accepted: false,
  }));
  const reports = prune([...state.reports, ...finalized]);
  return {
    state: { ...state, nextWindow: last + 1, reports },
    finalized,
    missed,
  };
}

/**
 * Skips the windows that an earlier leader may have reported with counts that a
 * restore of the store has lost. Other counts for the same window must not be
 * reported, so these windows have no report.
 *
 * @param restoredAt when the restore was noticed, in epoch ms.
 */
export function skipLostReports(
  state: LeaderState,
  timing: UsageTiming,
  restoredAt: number,
): UsageDecision {
  const { nextWindow } = state;
  const last = lastWindowToFinalize(timing, restoredAt, FINALIZE_FRACTION);
  if (nextWindow === undefined || last < nextWindow) {
    return { state, finalized: [], missed: [] };
  }
  return {
    state: { ...state, nextWindow: last + 1 },
    finalized: [],
    missed: range(nextWindow, last + 1),
  };
}

/** The last window whose finalizing time has passed. */
function lastWindowToFinalize(
  { windowMs, delayMs }: UsageTiming,
  now: number,
  fraction: number,
): number {
  return Math.floor((now - windowMs - fraction * delayMs) / windowMs);
}

/**
 * Returns the known counts of all windows without a report. The leader stores
 * them, so that they survive the loss of all daemons. `lives` is the stored name
 * of incarnations.
 */
export function checkpointOf(
  state: LeaderState,
  { meter, timing, now }: UsageSources,
): UsageCheckpoint {
  const current = Math.floor(now / timing.windowMs);
  const first = Math.max(state.nextWindow ?? current, current - MAX_PENDING);
  const windows = range(first, current + 1);
  const incarnations = new Set(
    windows.flatMap((window) => [...meter.incarnations(window)]),
  );
  return {
    lives: [...incarnations],
    windows: windows.map((window) => ({
      window,
      counts: countsOf(window, state.checkpoint, meter),
    })),
  };
}

/**
 * Marks the reports that the platform has accepted, and drops the oldest reports
 * beyond the limits of accepted and pending ones.
 */
export function withAccepted(
  state: LeaderState,
  accepted: ReadonlySet<number>,
): LeaderState {
  const reports = state.reports.map((report) =>
    accepted.has(report.window) ? { ...report, accepted: true } : report
  );
  return { ...state, reports: prune(reports) };
}

/**
 * Returns the request counts of a window by workspace: those of the meter, plus
 * the requests by which the checkpoint exceeds the meter's counts of the same
 * incarnations, because the meter lacks counts of some of these.
 */
function countsOf(
  window: number,
  checkpoint: UsageCheckpoint,
  meter: UsageMeter,
): Counts {
  const counts = new Map(meter.totals(window));
  const stored = checkpoint.windows.find((entry) => entry.window === window);
  const incarnations = new Set(checkpoint.lives);
  const known = meter.totals(
    window,
    (incarnation) => incarnations.has(incarnation),
  );
  for (const [workspace, requests] of Object.entries(stored?.counts ?? {})) {
    const missing = requests - (known.get(workspace) ?? 0);
    if (missing <= 0) continue;
    counts.set(workspace, (counts.get(workspace) ?? 0) + missing);
  }
  const sorted = [...counts].sort(([a], [b]) => a < b ? -1 : 1);
  return Object.fromEntries(sorted);
}

/** Drops the oldest accepted and pending reports beyond their limits. */
function prune(reports: readonly UsageReport[]): readonly UsageReport[] {
  const accepted = reports.filter((report) => report.accepted);
  const pending = reports.filter((report) => !report.accepted);
  return [
    ...accepted.slice(-MAX_ACCEPTED),
    ...pending.slice(-MAX_PENDING),
  ].sort((a, b) => a.window - b.window);
}

/** Returns the integers from `from` up to, but not including, `to`. */
function range(from: number, to: number): readonly number[] {
  return Array.from(
    { length: Math.max(0, to - from) },
    (_, index) => from + index,
  );
}
