/**
 * The encoding of crash reports in messages between daemons.
 *
 * @module
 */
import { checkNonNegative } from "./check_non_negative.ts";
import type { CrashAges, RunnerCrash } from "./crash_ages.ts";
import { rowsOf } from "./rows.ts";
import type { ValidEntries } from "./valid_entries.ts";

type PackedCrash = readonly [
  runner: string,
  /**
   * A flat array with three fields for each request that was at the runner: its
   * suspect, and the ages of its start and its end in ms.
   */
  runs: readonly (string | number)[],
];

/** A crash report as arrays without field names. */
export type PackedCrashes = readonly [
  crashed: readonly PackedCrash[],
  /**
   * A flat array with two fields for each complete response: the request's
   * suspect, and the age of the response in ms.
   */
  responses: readonly (string | number)[],
];

/** Number of fields of one run in a flat array. */
const RUN_FIELDS = 3;
/** Number of fields of one response in a flat array. */
const RESPONSE_FIELDS = 2;

/** Encodes a crash report as arrays: some 20 bytes for each request. */
export function packCrashes(
  { crashed, responses }: CrashAges,
): PackedCrashes {
  return [
    crashed.map(({ runner, runs }) => [
      runner,
      runs.flatMap((
        { suspect, startedAgoMs, endedAgoMs },
      ) => [suspect, startedAgoMs, endedAgoMs]),
    ]),
    responses.flatMap(({ suspect, agoMs }) => [suspect, agoMs]),
  ];
}

function unpackCrash(
  [runner, runs]: PackedCrash,
  entries: ValidEntries,
): RunnerCrash {
  return {
    runner: String(runner),
    runs: entries.all(rowsOf(runs, RUN_FIELDS), (
      [suspect, startedAgoMs, endedAgoMs],
    ) => ({
      suspect: String(suspect),
      startedAgoMs: checkNonNegative(startedAgoMs, "crashes.startedAgoMs"),
      endedAgoMs: checkNonNegative(endedAgoMs, "crashes.endedAgoMs"),
    })),
  };
}

/**
 * Decodes a crash report that {@linkcode packCrashes} encoded, without the
 * requests and responses of which an age is invalid.
 */
export function unpackCrashes(
  [crashed, responses]: PackedCrashes,
  entries: ValidEntries,
): CrashAges {
  return {
    crashed: crashed.map((crash) => unpackCrash(crash, entries)),
    responses: entries.all(rowsOf(responses, RESPONSE_FIELDS), (
      [suspect, agoMs],
    ) => ({
      suspect: String(suspect),
      agoMs: checkNonNegative(agoMs, "crashes.agoMs"),
    })),
  };
}

/** Whether a crash report has crashed requests or complete responses. */
export function hasReports(
  { crashed, responses }: CrashAges,
): boolean {
  return crashed.length + responses.length > 0;
}
