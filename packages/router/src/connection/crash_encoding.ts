/**
 * How crashes are laid out in messages between daemons.
 *
 * @module
 */
import { checkCount } from "./counts.ts";
import type { CrashAges, RunnerCrash } from "./crash_ages.ts";

type PackedCrash = readonly [
  runner: string,
  /** Fingerprint, age of the beginning and of the end, for each run. */
  runs: readonly (string | number)[],
];

/** Crashes as lists without the names of their fields. */
export type PackedCrashes = readonly [
  crashed: readonly PackedCrash[],
  fingerprintsAndAges: readonly (string | number)[],
];

/** Fields of one run in a list of several. */
const RUN_FIELDS = 3;
const ANSWER_FIELDS = 2;

/** Lays out crashes: some 20 bytes for each request. */
export function packCrashes({ crashed, answers }: CrashAges): PackedCrashes {
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

/** Takes a list apart into rows of so many fields. */
function rowsOf<Field>(
  fields: readonly Field[],
  length: number,
): readonly (readonly Field[])[] {
  const rows = [];
  for (let at = 0; at + length <= fields.length; at += length) {
    rows.push(fields.slice(at, at + length));
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

/** Reads what {@linkcode packCrashes} laid out. */
export function unpackCrashes([crashed, answers]: PackedCrashes): CrashAges {
  return {
    crashed: crashed.map(unpackCrash),
    answers: rowsOf(answers, ANSWER_FIELDS).map(([fingerprint, ago]) => ({
      fingerprint: String(fingerprint),
      agoMs: checkCount(ago, "crashes.agoMs"),
    })),
  };
}

/** Whether there is anything to tell. */
export function hasCrashes({ crashed, answers }: CrashAges): boolean {
  return crashed.length + answers.length > 0;
}
