/**
 * The layout of crash reports in messages between daemons.
 *
 * @module
 */
import { checkCount } from "./counts.ts";
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
const ANSWER_FIELDS = 2;

/** Converts a crash report to its layout: some 20 bytes for each request. */
export function packCrashes(
  { crashed, responses: answers }: CrashAges,
): PackedCrashes {
  return [
    crashed.map(({ runner, runs }) => [
      runner,
      runs.flatMap((
        { fingerprint, beganAgoMs, endedAgoMs },
      ) => [fingerprint, beganAgoMs, endedAgoMs]),
    ]),
    answers.flatMap(({ fingerprint, agoMs }) => [fingerprint, agoMs]),
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
    runs: rowsOf(runs, RUN_FIELDS).map(([fingerprint, began, ended]) => ({
      fingerprint: String(fingerprint),
      beganAgoMs: checkCount(began, "crashes.beganAgoMs"),
      endedAgoMs: checkCount(ended, "crashes.endedAgoMs"),
    })),
  };
}

/** Reads a crash report in the layout of {@linkcode packCrashes}. */
export function unpackCrashes([crashed, answers]: PackedCrashes): CrashAges {
  return {
    crashed: crashed.map(unpackCrash),
    responses: rowsOf(answers, ANSWER_FIELDS).map(([fingerprint, ago]) => ({
      fingerprint: String(fingerprint),
      agoMs: checkCount(ago, "crashes.agoMs"),
    })),
  };
}

/** Whether a crash report is not empty. */
export function hasCrashes(
  { crashed, responses: answers }: CrashAges,
): boolean {
  return crashed.length + answers.length > 0;
}
