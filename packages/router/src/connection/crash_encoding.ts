/**
 * The layout of crash reports in messages between daemons.
 *
 * @module
 */
import { checkNonNegative } from "./check_non_negative.ts";
import type { CrashAges, RunnerCrash } from "./crash_ages.ts";

type PackedCrash = readonly [
  runner: string,
  /** For each run its fingerprint and the ages of its start and its end. */
  runs: readonly (string | number)[],
];

/** A crash report as arrays without field names. */
export type PackedCrashes = readonly [
  crashed: readonly PackedCrash[],
  fingerprintsAndAges: readonly (string | number)[],
];

/** Number of fields of one run in a flat array. */
const RUN_FIELDS = 3;
const RESPONSE_FIELDS = 2;

/** Converts a crash report to its layout: some 20 bytes for each request. */
export function packCrashes(
  { crashed, responses }: CrashAges,
): PackedCrashes {
  return [
    crashed.map(({ runner, runs }) => [
      runner,
      runs.flatMap((
        { fingerprint, startedAgoMs, endedAgoMs },
      ) => [fingerprint, startedAgoMs, endedAgoMs]),
    ]),
    responses.flatMap(({ fingerprint, agoMs }) => [fingerprint, agoMs]),
  ];
}

/** Splits a flat array into rows of `length` fields. */
function rowsOf<Field>(
  fields: readonly Field[],
  length: number,
): readonly (readonly Field[])[] {
  const rows = [];
  for (let start = 0; start + length <= fields.length; start += length) {
    rows.push(fields.slice(start, start + length));
  }
  return rows;
}

function unpackCrash([runner, runs]: PackedCrash): RunnerCrash {
  return {
    runner: String(runner),
    runs: rowsOf(runs, RUN_FIELDS).map(([fingerprint, started, ended]) => ({
      fingerprint: String(fingerprint),
      startedAgoMs: checkNonNegative(started, "crashes.startedAgoMs"),
      endedAgoMs: checkNonNegative(ended, "crashes.endedAgoMs"),
    })),
  };
}

/** Reads a crash report in the layout of {@linkcode packCrashes}. */
export function unpackCrashes([crashed, responses]: PackedCrashes): CrashAges {
  return {
    crashed: crashed.map(unpackCrash),
    responses: rowsOf(responses, RESPONSE_FIELDS).map(([fingerprint, ago]) => ({
      fingerprint: String(fingerprint),
      agoMs: checkNonNegative(ago, "crashes.agoMs"),
    })),
  };
}

/** Whether a crash report is not empty. */
export function hasReports(
  { crashed, responses }: CrashAges,
): boolean {
  return crashed.length + responses.length > 0;
}
