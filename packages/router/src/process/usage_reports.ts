/**
 * Which windows of usage are reported, and with which counts.
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
 * Part of the time for a report after which its counts are fixed, while all
 * daemons are heard of: another daemon that has to take over from the leader
 * needs the rest of the time.
 */
const FIXED_AFTER = 0.45;
/**
 * The same while some are not heard of. One that is cut off from the others for
 * some seconds still serves its callers, and tells its counts when it is back.
 */
const FIXED_INCOMPLETE_AFTER = 0.75;
/** Reports that the platform has taken which are kept, for the operators' eyes. */
const KEPT_ACCEPTED = 2;
/** Reports that wait; of more the oldest are given up. */
const MAX_WAITING = 24;

/** When windows are due. */
export interface UsageTiming {
  readonly windowMs: number;
  /** Milliseconds after the end of a window by which its report is due. */
  readonly delayMs: number;
}

/** What a leader reports from. */
export interface UsageSources {
  readonly meter: UsageMeter;
  readonly timing: UsageTiming;
  /** Epoch ms. */
  readonly now: number;
  /** Whether all daemons are heard of that there were lately. */
  readonly complete: boolean;
}

/** A decision on usage, and windows for which it comes too late. */
export interface UsageDecision {
  readonly work: LeaderState;
  readonly fixed: readonly UsageReport[];
  readonly missed: readonly number[];
}

/**
 * Fixes the counts of the windows whose time has come.
 *
 * @returns nothing if there is nothing to decide.
 *
 * @example
 * ```ts
 * const decision = fixReports(lease.work, { meter, timing, now: time.now() });
 * if (decision !== undefined) await lease.update(decision.work);
 * ```
 */
export function finalizeReports(
  work: LeaderState,
  sources: UsageSources,
): UsageDecision | undefined {
  const { windowMs, delayMs } = sources.timing;
  const present = Math.floor(sources.now / windowMs);
  if (work.nextWindow === undefined) {
    return { work: { ...work, nextWindow: present }, fixed: [], missed: [] };
  }
  const part = sources.complete ? FIXED_AFTER : FIXED_INCOMPLETE_AFTER;
  const fixedAfterMs = windowMs + part * delayMs;
  const last = Math.floor((sources.now - fixedAfterMs) / windowMs);
  if (last < work.nextWindow) return undefined;
  // A report that comes a window late is of use; the counts of older ones are
  // forgotten.
  const dueWindows = Math.ceil((windowMs + delayMs) / windowMs);
  const first = Math.max(work.nextWindow, present - dueWindows - 1);
  const missed = range(work.nextWindow, Math.min(first, last + 1));
  const fixed = range(first, last + 1).map((window): UsageReport => ({
    window,
    counts: countsOf(window, work.checkpoint, sources.meter),
    accepted: false,
  }));
  const reports = kept([...work.reports, ...fixed]);
  return { work: { ...work, nextWindow: last + 1, reports }, fixed, missed };
}

/**
 * What is known of the windows without a report, so that it outlasts the loss of
 * all daemons.
 */
export function checkpointOf(
  work: LeaderState,
  { meter, timing, now }: UsageSources,
): UsageCheckpoint {
  const present = Math.floor(now / timing.windowMs);
  const first = Math.max(work.nextWindow ?? present, present - MAX_WAITING);
  const windows = range(first, present + 1);
  const lives = new Set(
    windows.flatMap((each) => [...meter.incarnations(each)]),
  );
  return {
    lives: [...lives],
    windows: windows.map((window) => ({
      window,
      counts: countsOf(window, work.checkpoint, meter),
    })),
  };
}

/**
 * Notes which reports the platform has taken, and leaves out those that nothing
 * is to be done for any more.
 */
export function withAccepted(
  work: LeaderState,
  accepted: ReadonlySet<number>,
): LeaderState {
  const reports = work.reports.map((each) =>
    accepted.has(each.window) ? { ...each, accepted: true } : each
  );
  return { ...work, reports: kept(reports) };
}

/**
 * Requests of a window: those that daemons tell, and of those in the checkpoint
 * the part of daemons that nobody has heard of since.
 */
function countsOf(
  window: number,
  checkpoint: UsageCheckpoint,
  meter: UsageMeter,
): Counts {
  const counts = new Map(meter.totals(window));
  const before = checkpoint.windows.find((each) => each.window === window);
  const lives = new Set(checkpoint.lives);
  const heard = meter.totals(window, (life) => lives.has(life));
  for (const [workspace, requests] of Object.entries(before?.counts ?? {})) {
    const lost = requests - (heard.get(workspace) ?? 0);
    if (lost <= 0) continue;
    counts.set(workspace, (counts.get(workspace) ?? 0) + lost);
  }
  const sorted = [...counts].sort(([one], [other]) => one < other ? -1 : 1);
  return Object.fromEntries(sorted);
}

function kept(reports: readonly UsageReport[]): readonly UsageReport[] {
  const accepted = reports.filter((each) => each.accepted);
  const waiting = reports.filter((each) => !each.accepted);
  return [
    ...accepted.slice(-KEPT_ACCEPTED),
    ...waiting.slice(-MAX_WAITING),
  ].sort((one, other) => one.window - other.window);
}

/** Whole numbers from one up to another one, without it. */
function range(from: number, to: number): readonly number[] {
  return Array.from(
    { length: Math.max(0, to - from) },
    (_, index) => from + index,
  );
}
