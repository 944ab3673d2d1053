/**
 * What is known of requests at runners that ended, as daemons tell each other.
 *
 * @module
 */
import type { CompleteResponse, CrashedRun } from "../process/crash_entry.ts";
import type { CrashUpdate } from "../process/crash_record.ts";
import { groupBy } from "../process/group.ts";

/** Requests that were at one runner when it ended. */
export interface RunnerCrash {
  /** Id of the runner's life. */
  readonly runner: string;
  readonly runs: readonly {
    readonly fingerprint: string;
    readonly beganAgoMs: number;
    readonly endedAgoMs: number;
  }[];
}

/** A request that was answered whole. */
export interface AnswerAge {
  readonly fingerprint: string;
  readonly agoMs: number;
}

/** The news in ms before the message, as hosts share no clock. */
export interface CrashAges {
  readonly crashed: readonly RunnerCrash[];
  readonly answers: readonly AnswerAge[];
}

/** Nothing to tell. */
export const NO_CRASHES: CrashAges = { crashed: [], answers: [] };

/** Milliseconds since a moment; both in steady ms. */
export function ageOf(at: number, now: number): number {
  return Math.max(0, Math.round(now - at));
}

/** Puts news in ages, for a message that is sent now. */
export function toAges(
  { crashed, responses }: CrashUpdate,
  now: number,
): CrashAges {
  const byRunner = groupBy(crashed, ({ runner }) => runner);
  return {
    crashed: [...byRunner].map(([runner, runs]) => ({
      runner,
      runs: runs.map(({ fingerprint, startedAt, endedAt }) => ({
        fingerprint,
        beganAgoMs: ageOf(startedAt, now),
        endedAgoMs: ageOf(endedAt, now),
      })),
    })),
    answers: responses.map(({ fingerprint, at }) => ({
      fingerprint,
      agoMs: ageOf(at, now),
    })),
  };
}

/** Reads ages of a message that came now. */
export function fromAges(
  { crashed, answers }: CrashAges,
  now: number,
): CrashUpdate {
  return {
    crashed: crashed.flatMap(({ runner, runs }) =>
      runs.map(({ fingerprint, beganAgoMs, endedAgoMs }): CrashedRun => ({
        fingerprint,
        runner,
        startedAt: now - beganAgoMs,
        endedAt: now - endedAgoMs,
      }))
    ),
    responses: answers.map(({ fingerprint, agoMs }): CompleteResponse => ({
      fingerprint,
      at: now - agoMs,
    })),
  };
}
