/**
 * Crashes of runners while they ran one request.
 *
 * @module
 */

/**
 * A run of a request at a runner that crashed meanwhile; times in monotonic ms.
 */
export interface CrashedRun {
  /** Identifies the request across attempts. */
  readonly fingerprint: string;
  /** Id of the runner's incarnation that crashed. */
  readonly runner: string;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** A run of a request that its runner completed. */
export interface CompleteResponse {
  readonly fingerprint: string;
  /** End of the response, in monotonic ms. */
  readonly at: number;
}

/** Consecutive crashes after which a request is quarantined. */
const CRASHES_TO_BLAME = 3;
/**
 * The same for a request that has completed before: one that is repeated often
 * may well be at three runners in turn that crash for another reason.
 */
const CRASHES_TO_BLAME_COMPLETED = 6;
/** Crashed runs remembered per request. */
const MAX_RUNS = 8;

/** Crashed runs of one request, and its last complete response. */
export interface CrashEntry {
  /** In the order of their crashes. */
  readonly runs: readonly CrashedRun[];
  /** End of its last complete response, if any. */
  readonly completedAt: number | undefined;
  /** Consecutive crashes since then. */
  readonly crashes: number;
  readonly lastCrashAt: number;
}

/** The entry of a request without crashes. */
export const EMPTY_ENTRY: CrashEntry = {
  runs: [],
  completedAt: undefined,
  crashes: 0,
  lastCrashAt: -Infinity,
};

/** Returns the entry with one more run; drops the oldest beyond the maximum. */
export function withRun(entry: CrashEntry, run: CrashedRun): CrashEntry {
  const runs = [...entry.runs, run]
    .sort((one, other) => one.endedAt - other.endedAt)
    .slice(-MAX_RUNS);
  return entryOf(runs, entry.completedAt);
}

/** Returns the entry after a complete response. */
export function withCompletion(entry: CrashEntry, at: number): CrashEntry {
  return entryOf(entry.runs, at);
}

/**
 * Whether the request is blamed for so many crashes that it must not be sent.
 */
export function isBlamed(
  { crashes, completedAt }: CrashEntry,
): boolean {
  return crashes >=
    (completedAt === undefined ? CRASHES_TO_BLAME : CRASHES_TO_BLAME_COMPLETED);
}

function entryOf(
  runs: readonly CrashedRun[],
  completedAt: number | undefined,
): CrashEntry {
  return {
    runs,
    completedAt,
    crashes: consecutiveCrashes(runs, completedAt ?? -Infinity),
    lastCrashAt: runs.at(-1)!.endedAt,
  };
}

/**
 * Counts the runs that each started after the crash of the one before.
 * Overlapping runs count once: when a failure domain loses power, all runners
 * that run a request crash at once, whatever the request.
 *
 * @param runs in the order of their crashes.
 * @param since monotonic ms; runs that started earlier do not count.
 */
function consecutiveCrashes(
  runs: readonly CrashedRun[],
  since: number,
): number {
  let crashes = 0;
  let previousEnd = since;
  for (const { startedAt, endedAt } of runs) {
    if (startedAt < previousEnd) continue;
    crashes += 1;
    previousEnd = endedAt;
  }
  return crashes;
}
