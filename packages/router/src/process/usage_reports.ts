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
  /** Windows that are too old to be reported. */
  readonly missed: readonly number[];
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
  const { windowMs, delayMs } = timing;
  const current = Math.floor(now / windowMs);
  if (state.nextWindow === undefined) {
    return {
      state: { ...state, nextWindow: current },
      finalized: [],
      missed: [],
    };
  }
  // A report that is one window late is still useful. Older windows are missed:
  // the meter keeps counts for a limited number of windows only.
  const first = current - Math.ceil((windowMs + delayMs) / windowMs) - 1;
  const heldBefore = state.reports.filter(({ held }) => held);
  const missed = openWindows(state, current).filter((window) => window < first);
  const finalized: UsageReport[] = [];
  const held: UsageReport[] = [];
  for (const window of undecidedWindows(state, current)) {
    if (missed.includes(window)) continue;
    const stored = heldBefore.find((report) => report.window === window);
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
  const decided = finalized.length > 0 || missed.length > 0;
  if (!decided && !(writing && held.length > 0)) return undefined;
  const changed = [...finalized, ...held];
  const windows = [...missed, ...changed.map(({ window }) => window)];
  const nextWindow = Math.max(state.nextWindow, ...windows.map(next));
  const open = openWindows(state, current).filter((window) =>
    window < nextWindow && !windows.includes(window)
  );
  const unchanged = state.reports.filter(({ window }) =>
    !windows.includes(window)
  );
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
  const missed = undecidedWindows(state, Math.floor(restoredAt / windowMs));
  if (missed.length === 0) return { state, finalized: [], missed };
  const nextWindow = Math.max(state.nextWindow ?? 0, ...missed.map(next));
  const reports = state.reports.filter(({ window }) =>
    !missed.includes(window)
  );
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

/** Windows before `current` without a report, not even a held one. */
function openWindows(
  { open = [], nextWindow }: LeaderState,
  current: number,
): readonly number[] {
  return [...open, ...range(nextWindow ?? current, current)];
}

/** Windows before `current` whose counts are not final. */
function undecidedWindows(
  state: LeaderState,
  current: number,
): readonly number[] {
  const held = state.reports
    .filter((report) => report.held && report.window < current)
    .map(({ window }) => window);
  return [...held, ...openWindows(state, current)].sort((a, b) => a - b);
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
  const current = Math.floor(now / timing.windowMs);
  const windows = undecidedWindows(state, current + 1).slice(-MAX_PENDING);
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
