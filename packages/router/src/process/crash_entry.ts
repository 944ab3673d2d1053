/**
 * Crashes of runners while they ran a request, or requests with one part of a prompt.
 *
 * @module
 */

import { isPart } from "./suspect.ts";
import type { Suspect } from "./suspect.ts";

/**
 * A run of a request at a runner that crashed meanwhile; times in monotonic ms.
 */
export interface CrashedRun {
  readonly suspect: Suspect;
  /** Id of the runner's incarnation that crashed. */
  readonly runner: string;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** A run of a request that its runner completed. */
export interface CompleteResponse {
  readonly suspect: Suspect;
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
/** Milliseconds within which two starts of a run count as the same. */
const SAME_START_MS = 100;
/** Crashed runs remembered per suspect. */
const MAX_RUNS = 8;

/** Duration of a quarantine in ms, from the last crash. */
const QUARANTINE_MS = 600_000;
/**
 * The same for a part of prompts that has completed before, doubled at each further
 * crash. Thousands of requests may share it, and none of them could show that it is
 * not to blame for runners that crash for another reason.
 */
const SHARED_QUARANTINE_MS = 5_000;

/** Crashed runs of one suspect, and its last complete response. */
export interface CrashEntry {
  /** In the order of their crashes. */
  readonly runs: readonly CrashedRun[];
  /** End of its last complete response, if any. */
  readonly completedAt: number | undefined;
  /** Consecutive crashes since then. */
  readonly crashes: number;
  readonly lastCrashAt: number;
}

/** The entry of a suspect without crashes. */
export const EMPTY_ENTRY: CrashEntry = {
  runs: [],
  completedAt: undefined,
  crashes: 0,
  lastCrashAt: -Infinity,
};

/**
 * Returns the entry with one more run, or undefined if it says nothing new; drops the
 * oldest beyond the maximum. Of several requests with the same part at one runner the
 * one that started last counts: the others had been there before.
 */
export function withRun(
  entry: CrashEntry,
  run: CrashedRun,
): CrashEntry | undefined {
  const known = entry.runs.find(({ runner }) => runner === run.runner);
  if (known !== undefined && !startedLater(run, known)) return undefined;
  const runs = [...entry.runs.filter((each) => each !== known), run]
    .sort((one, other) => one.endedAt - other.endedAt)
    .slice(-MAX_RUNS);
  return entryOf(runs, entry.completedAt);
}

/**
 * Whether a run at the same runner started later; updates arrive over several paths,
 * and each yields a slightly different age.
 */
function startedLater(run: CrashedRun, known: CrashedRun): boolean {
  return isPart(run.suspect) &&
    run.startedAt - known.startedAt > SAME_START_MS;
}

/** Returns the entry after a complete response. */
export function withCompletion(entry: CrashEntry, at: number): CrashEntry {
  return entryOf(entry.runs, at);
}

/** Whether the suspect is blamed for so many crashes that it must not be sent. */
export function isBlamed(entry: CrashEntry): boolean {
  return entry.crashes >= crashesToBlame(entry);
}

function crashesToBlame({ completedAt }: CrashEntry): number {
  return completedAt === undefined
    ? CRASHES_TO_BLAME
    : CRASHES_TO_BLAME_COMPLETED;
}

/** Milliseconds from the last crash for which a blamed suspect is not sent. */
export function quarantineMs(suspect: Suspect, entry: CrashEntry): number {
  if (entry.completedAt === undefined || !isPart(suspect)) return QUARANTINE_MS;
  const further = entry.crashes - crashesToBlame(entry);
  return Math.min(QUARANTINE_MS, SHARED_QUARANTINE_MS * 2 ** further);
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
