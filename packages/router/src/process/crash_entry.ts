/**
 * What is known of one request that was at runners which ended.
 *
 * @module
 */

/** A run of a request at a runner that ended meanwhile; steady ms. */
export interface CrashedRun {
  /** The same for each try of the request. */
  readonly fingerprint: string;
  /** Id of the runner's life that ended. */
  readonly runner: string;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** A run of a request that its runner answered whole. */
export interface CompleteResponse {
  readonly fingerprint: string;
  /** When the answer ended, in steady ms. */
  readonly at: number;
}

/** Ends after which a request is not sent any more. */
const ENDS = 3;
/**
 * The same for a request that has been answered whole before: one that comes over
 * and over may well be at three runners in turn that end for another reason.
 */
const ENDS_ONCE_ANSWERED = 6;
/** Runners that are remembered of one request. */
const MAX_RUNS = 8;

/** Ends of runners under one request, and answers to it. */
export interface CrashEntry {
  /** In the order of their ends. */
  readonly runs: readonly CrashedRun[];
  /** When it was answered whole, if ever. */
  readonly answeredAt: number | undefined;
  /** Ends in turn since then. */
  readonly ends: number;
  readonly lastEndAt: number;
}

/** Of a request that was at no runner that ended. */
export const NO_ENDS: CrashEntry = {
  runs: [],
  answeredAt: undefined,
  ends: 0,
  lastEndAt: -Infinity,
};

/** The entry with one more run; the oldest of too many are left out. */
export function withRun(entry: CrashEntry, run: CrashedRun): CrashEntry {
  const runs = [...entry.runs, run]
    .sort((one, other) => one.endedAt - other.endedAt)
    .slice(-MAX_RUNS);
  return entryOf(runs, entry.answeredAt);
}

/** The entry after the request was answered whole. */
export function withAnswer(entry: CrashEntry, at: number): CrashEntry {
  return entryOf(entry.runs, at);
}

/** Whether the request has ended so many runners that it must not be sent. */
export function isBlamed({ ends, answeredAt }: CrashEntry): boolean {
  return ends >= (answeredAt === undefined ? ENDS : ENDS_ONCE_ANSWERED);
}

function entryOf(
  runs: readonly CrashedRun[],
  answeredAt: number | undefined,
): CrashEntry {
  return {
    runs,
    answeredAt,
    ends: endsInTurn(runs, answeredAt ?? -Infinity),
    lastEndAt: runs.at(-1)!.endedAt,
  };
}

/**
 * How many runs each began after the one before had ended its runner. Runs that
 * overlap count once: when a failure domain loses power, all runners at which a
 * request is end at once, whatever the request.
 *
 * @param runs in the order of their ends.
 * @param since steady ms before which none counts.
 */
function endsInTurn(runs: readonly CrashedRun[], since: number): number {
  let ends = 0;
  let free = since;
  for (const { startedAt, endedAt } of runs) {
    if (startedAt < free) continue;
    ends += 1;
    free = endedAt;
  }
  return ends;
}
