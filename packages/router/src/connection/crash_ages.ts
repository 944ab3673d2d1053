/**
 * Reports of requests at crashed runners, with ages in place of times.
 *
 * @module
 */
import type { CompleteResponse, CrashedRun } from "../process/crash_entry.ts";
import type { CrashUpdate } from "../process/crash_record.ts";
import { groupBy } from "../process/group.ts";

/** Requests that were at one runner when it crashed. */
export interface RunnerCrash {
  /** Id of the runner, which differs for each incarnation. */
  readonly runner: string;
  readonly runs: readonly {
    readonly suspect: string;
    readonly startedAgoMs: number;
    readonly endedAgoMs: number;
  }[];
}

/** A request that got a complete response. */
export interface ResponseAge {
  readonly suspect: string;
  readonly agoMs: number;
}

/** A crash update in ms before the message, because hosts share no clock. */
export interface CrashAges {
  readonly crashed: readonly RunnerCrash[];
  readonly responses: readonly ResponseAge[];
}

/** A report without crashes. */
export const NO_CRASHES: CrashAges = { crashed: [], responses: [] };

/** Milliseconds from a time until now, both in monotonic ms; 0 if it is later. */
export function ageOf(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}

/** Converts times to ages, for a message that is sent now. */
export function toAges(
  { crashed, responses }: CrashUpdate,
  now: number,
): CrashAges {
  const byRunner = groupBy(crashed, ({ runner }) => runner);
  return {
    crashed: [...byRunner].map(([runner, runs]) => ({
      runner,
      runs: runs.map(({ suspect, startedAt, endedAt }) => ({
        suspect,
        startedAgoMs: ageOf(startedAt, now),
        endedAgoMs: ageOf(endedAt, now),
      })),
    })),
    responses: responses.map(({ suspect, at }) => ({
      suspect,
      agoMs: ageOf(at, now),
    })),
  };
}

/** Converts ages to times, for a message that arrived now. */
export function fromAges(
  { crashed, responses }: CrashAges,
  now: number,
): CrashUpdate {
  return {
    crashed: crashed.flatMap(({ runner, runs }) =>
      runs.map((
        { suspect, startedAgoMs, endedAgoMs },
      ): CrashedRun => ({
        suspect,
        runner,
        startedAt: now - startedAgoMs,
        endedAt: now - endedAgoMs,
      }))
    ),
    responses: responses.map(({ suspect, agoMs }): CompleteResponse => ({
      suspect,
      at: now - agoMs,
    })),
  };
}
