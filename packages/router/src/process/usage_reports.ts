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
import { MAX_PENDING, prune } from "./leader_state_bounds.ts";
import { isComplete, livesOf } from "./usage_completion.ts";
import type { Counts, UsageMeter } from "./usage_meter.ts";

/**
 * Time in ms before a report is due at which the counts of its window are finalized
 * although some are missing. It is enough for a step of the leader (200), a write
 * to the store (700 until its time-out) and a call of the platform (900).
 */
const REPORT_TIME_MS = 2_000;
/**
 * Fraction of the reporting delay after which a window without all counts is held:
 * its counts are stored with each renewal so that they can be sent if the store
 * fails. Before, the store has time to come back; afterwards, a change of the leader
 * fixes what was held.
 */
const HOLD_FRACTION = 0.45;
/**
 * Windows by which the next one of a state may be ahead, if the clock of an earlier
 * leader was fast. The leader waits for them, as some may have been reported.
 */
const MAX_AHEAD = MAX_PENDING;

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
  /** Number of daemons in the fleet, as far as they are linked. */
  readonly daemons: number;
  /** Whether the state is written now in any case. */
  readonly writing: boolean;
  /** Windows whose held counts may have been sent. */
  readonly frozen: ReadonlySet<number>;
}

/** New reports, and the leader's state that includes them. */
export interface UsageDecision {
  readonly state: LeaderState;
  readonly finalized: readonly UsageReport[];
  /** Windows that are not reported; undefined if there are none. */
  readonly missed: MissedWindows | undefined;
}

/**
 * Windows that are not reported. There may be millions after a long time without a
 * daemon, so that they are not listed.
 */
export interface MissedWindows {
  readonly first: number;
  readonly last: number;
  readonly count: number;
}

/** The windows that can be reported: those that have ended, but not long ago. */
interface ReportableWindows {
  readonly first: number;
  /** The current window, which has not ended. */
  readonly current: number;
}

/**
 * Finalizes the counts of the windows that are complete, and of those whose reports
 * could otherwise be late.
 *
 * A report goes out only after a write to the store has fixed its counts, and the
 * store may be down at that time. Complete windows are therefore fixed at once, and
 * others are held from some time on.
 *
 * @returns undefined if there is nothing to write; at the first call ever, a state
 * that starts with the current window.
 *
 * @example
 * ```ts
 * const decision = finalizeReports(lease.state, {
 *   meter,
 *   timing,
 *   now: time.now(),
 *   daemons,
 *   writing: false,
 *   frozen: new Set(),
 * });
 * if (decision !== undefined) await lease.update(decision.state);
 * ```
 */
export function finalizeReports(
  state: LeaderState,
  sources: UsageSources,
): UsageDecision | undefined {
  const { meter, timing, now, writing, frozen } = sources;
  const { delayMs } = timing;
  const reportable = reportableAt(now, timing);
  const { first, current } = reportable;
  const { nextWindow: nextBefore = Infinity } = state;
  if (nextBefore > current + MAX_AHEAD) {
    return {
      state: { ...state, nextWindow: current },
      finalized: [],
      missed: undefined,
    };
  }
  const missed = extentOf(
    (state.open ?? []).filter((window) => window < first),
    { from: nextBefore, to: first },
  );
  const finalized: UsageReport[] = [];
  const held: UsageReport[] = [];
  for (const window of undecidedWindows(state, reportable)) {
    const stored = state.reports.find((report) => report.window === window);
    if (stored !== undefined && frozen.has(window)) {
      finalized.push(withoutHold(stored));
      continue;
    }
    const counts = countsOf(window, state.checkpoint, meter);
    const report = { window, counts, accepted: false };
    if (isFinal(window, state, sources)) finalized.push(report);
    else if (now >= endOf(window, timing) + HOLD_FRACTION * delayMs) {
      held.push({ ...report, held: true });
    }
  }
  const decided = finalized.length > 0 || missed !== undefined;
  if (!decided && !(writing && held.length > 0)) return undefined;
  const changed = [...finalized, ...held];
  const windows = new Set(changed.map(({ window }) => window));
  const nextWindow = Math.max(
    nextBefore,
    next(missed?.last ?? -Infinity),
    ...[...windows].map(next),
  );
  const open = openWindows(state, reportable).filter((window) =>
    window < nextWindow && !windows.has(window)
  );
  const unchanged = state.reports.filter(({ window }) => !windows.has(window));
  const reports = prune([...unchanged, ...changed]);
  return {
    state: { ...withOpen(state, open), nextWindow, reports },
    finalized,
    missed,
  };
}

/** Whether the counts of a window are final now. */
function isFinal(
  window: number,
  { checkpoint }: LeaderState,
  { meter, timing, now, daemons }: UsageSources,
): boolean {
  const { delayMs } = timing;
  const end = endOf(window, timing);
  const waitMs = Math.max(HOLD_FRACTION * delayMs, delayMs - REPORT_TIME_MS);
  if (now >= end + waitMs) return true;
  const waited = now >= end + HOLD_FRACTION * delayMs;
  return isComplete(window, { meter, checkpoint, daemons, waited });
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
  { windowMs }: UsageTiming,
  restoredAt: number,
): UsageDecision {
  // A window may be reported as soon as it has ended. Held counts may have been
  // replaced and sent since.
  const current = Math.floor(restoredAt / windowMs);
  const { open = [] } = state;
  const isLost = ({ held, window }: UsageReport) => held && window < current;
  const held = state.reports.filter(isLost).map(({ window }) => window);
  const missed = extentOf([...held, ...open], {
    from: state.nextWindow ?? current,
    to: current,
  });
  if (missed === undefined) return { state, finalized: [], missed };
  const nextWindow = Math.max(state.nextWindow ?? 0, next(missed.last));
  const reports = state.reports.filter((report) => !isLost(report));
  return {
    state: { ...withOpen(state, []), nextWindow, reports },
    finalized: [],
    missed,
  };
}

/** End of a window, in epoch ms. */
function endOf(window: number, { windowMs }: UsageTiming): number {
  return next(window) * windowMs;
}

/** Returns the windows that can be reported at a time, in epoch ms. */
function reportableAt(
  now: number,
  { windowMs, delayMs }: UsageTiming,
): ReportableWindows {
  const current = Math.floor(now / windowMs);
  // A report that is one window late is still useful. Older windows are missed:
  // the meter keeps counts for a limited number of windows only.
  const windows = Math.ceil((windowMs + delayMs) / windowMs) + 1;
  return { first: current - Math.min(windows, MAX_PENDING), current };
}

/** Returns the extent of the listed windows and of a range of others. */
function extentOf(
  listed: readonly number[],
  { from, to }: { readonly from: number; readonly to: number },
): MissedWindows | undefined {
  const others = Math.max(0, to - from);
  const count = listed.length + others;
  if (count === 0) return undefined;
  let first = others > 0 ? from : Infinity;
  let last = others > 0 ? to - 1 : -Infinity;
  for (const window of listed) {
    first = Math.min(first, window);
    last = Math.max(last, window);
  }
  return { first, last, count };
}

/** Windows that can be reported and have no report, not even a held one. */
function openWindows(
  { open = [], nextWindow, reports }: LeaderState,
  { first, current }: ReportableWindows,
): readonly number[] {
  const reported = new Set(reports.map(({ window }) => window));
  const from = Math.max(first, nextWindow ?? current);
  const all = new Set([
    ...open.filter((window) => window >= first && window < current),
    ...range(from, current),
  ]);
  return [...all].filter((window) => !reported.has(window));
}

/** Windows before the current one whose counts are not final. */
function undecidedWindows(
  state: LeaderState,
  reportable: ReportableWindows,
): readonly number[] {
  const held = state.reports
    .filter((report) => report.held && report.window < reportable.current)
    .map(({ window }) => window);
  return [...held, ...openWindows(state, reportable)].sort((a, b) => a - b);
}

function withoutHold({ held: _, ...report }: UsageReport): UsageReport {
  return report;
}

/** Returns the state with other open windows, without the field if there are none. */
function withOpen(state: LeaderState, open: readonly number[]): LeaderState {
  const { open: _, ...others } = state;
  return open.length === 0 ? others : { ...others, open };
}

function next(window: number): number {
  return window + 1;
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
  const { first, current } = reportableAt(now, timing);
  const windows = undecidedWindows(state, { first, current: current + 1 })
    .slice(-MAX_PENDING);
  const lives = new Set(
    windows.flatMap((window) => [...meter.incarnations(window)]),
  );
  return {
    lives: [...lives],
    windows: windows.map((window) => {
      const counts = countsOf(window, state.checkpoint, meter);
      const carried = [...livesOf(state.checkpoint, window)]
        .filter((incarnation) => !lives.has(incarnation));
      return carried.length === 0
        ? { window, counts }
        : { window, counts, carried };
    }),
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
  const incarnations = livesOf(checkpoint, window);
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

/** Returns the integers from `from` up to, but not including, `to`. */
function range(from: number, to: number): readonly number[] {
  return Array.from(
    { length: Math.max(0, to - from) },
    (_, index) => from + index,
  );
}
