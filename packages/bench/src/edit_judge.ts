/**
 * Judges edits from what operators were told, what daemons had in force and
 * what the store holds.
 *
 * @module
 */
import type { Absence, EditRecord, EditRun, Sighting } from "./edit_record.ts";
import { quantile } from "./report.ts";

/** What one scenario, or all of them, came to. */
export interface EditResult {
  readonly edits: number;
  readonly accepted: number;
  readonly conflicts: number;
  /** Not accepted, and said so, since the platform could not be reached. */
  readonly notAccepted: number;
  /** Milliseconds from the acceptance until every daemon had it in force. */
  readonly inForceMs: {
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
  };
  /** Accepted edits that some daemon never had in force. */
  readonly neverInForce: number;
  /** Times that a daemon went back to a lower version, over restarts too. */
  readonly reverts: number;
  /** Edits reported as accepted that the history does not hold. */
  readonly lost: number;
  /** Edits reported as not accepted that the history holds. */
  readonly falselyRefused: number;
  /** Edits that the history holds more than once. */
  readonly appliedTwice: number;
  readonly storeReadsPerSecond: number;
}

const MS_PER_SECOND = 1_000;

/** Judges runs together; each is judged on its own, then summed up. */
export function judgeEdits(runs: readonly EditRun[]): EditResult {
  const edits = runs.flatMap((run) => run.edits);
  const delays = runs.flatMap(inForceDelays);
  const known = delays.filter((delay) => delay !== undefined);
  const sum = (count: (run: EditRun) => number) =>
    runs.reduce((total, run) => total + count(run), 0);
  const seconds = sum(({ durationMs }) => durationMs) / MS_PER_SECOND;
  return {
    edits: edits.length,
    accepted: edits.filter(({ fate }) => fate === "accepted").length,
    conflicts: edits.filter(({ fate }) => fate === "conflict").length,
    notAccepted: edits.filter(({ fate }) => fate === "not-accepted").length,
    inForceMs: {
      p50: rounded(quantile(known, 0.5)),
      p99: rounded(quantile(known, 0.99)),
      max: rounded(quantile(known, 1)),
    },
    neverInForce: delays.length - known.length,
    reverts: sum(({ sightings }) => countReverts(sightings)),
    lost: sum((run) => countLost(run)),
    falselyRefused: sum((run) => countFalselyRefused(run)),
    appliedTwice: sum(({ history }) => history.length - new Set(history).size),
    storeReadsPerSecond: rounded(
      sum(({ storeReads }) => storeReads) / Math.max(seconds, Number.EPSILON),
    ),
  };
}

/** For each accepted edit the delay at the slowest daemon; undefined for never. */
function inForceDelays(run: EditRun): readonly (number | undefined)[] {
  const byDaemon = new Map(
    run.daemons.map((daemon) => [
      daemon,
      run.sightings.filter((sighting) => sighting.daemon === daemon),
    ]),
  );
  return run.edits.filter(({ fate }) => fate === "accepted").map((edit) => {
    let slowest: number | undefined = 0;
    for (const [daemon, sightings] of byDaemon) {
      if (absentAfter(run.absences, daemon, edit)) continue;
      const delay = delayAt(sightings, edit);
      if (delay === undefined) return undefined;
      slowest = Math.max(slowest, delay);
    }
    return slowest;
  });
}

function delayAt(
  sightings: readonly Sighting[],
  edit: EditRecord,
): number | undefined {
  const seen = sightings.find(({ version }) => version >= (edit.version ?? 0));
  if (seen === undefined) return undefined;
  return Math.max(0, seen.at - (edit.acceptedAt ?? 0));
}

/** A daemon that was not running cannot have had the edit in force in time. */
function absentAfter(
  absences: readonly Absence[],
  daemon: string,
  edit: EditRecord,
): boolean {
  const acceptedAt = edit.acceptedAt ?? 0;
  return absences.some((absence) =>
    absence.daemon === daemon && acceptedAt <= (absence.to ?? Infinity) &&
    acceptedAt >= absence.from
  );
}

function countReverts(sightings: readonly Sighting[]): number {
  const highest = new Map<string, number>();
  let reverts = 0;
  for (const { daemon, version } of sightings) {
    // A daemon that has just started and knows no table serves nobody by it.
    if (version === 0) continue;
    const before = highest.get(daemon) ?? 0;
    if (version < before) reverts += 1;
    highest.set(daemon, Math.max(before, version));
  }
  return reverts;
}

function countLost({ edits, history }: EditRun): number {
  const held = new Set(history);
  return edits.filter(({ editId, fate }) =>
    fate === "accepted" && !held.has(editId)
  ).length;
}

function countFalselyRefused({ edits, history }: EditRun): number {
  const held = new Set(history);
  return edits.filter(({ editId, fate }) =>
    (fate === "conflict" || fate === "not-accepted") && held.has(editId)
  ).length;
}

function rounded(value: number | undefined): number {
  return value === undefined ? 0 : Math.round(value * 10) / 10;
}
