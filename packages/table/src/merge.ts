/**
 * Three-way merge: changes made to one version of the table, applied to a later
 * one.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { diffTables, entriesByKey, entriesEqual, SECTIONS } from "./change.ts";
import type { Change, Entry, Section } from "./change.ts";
import type { Finding } from "./finding.ts";
import { parseTable } from "./parse.ts";
import type { Table } from "./table.ts";

/** An entry that both this edit and another one have changed. */
export interface EntryConflict {
  readonly section: Section;
  readonly key: string;
  /** What the edit started from; absent when it did not exist. */
  readonly base?: Entry;
  /** What the edit wants; absent when it removes the entry. */
  readonly mine?: Entry;
  /** What is in the table now; absent when it has been removed. */
  readonly theirs?: Entry;
}

/** The edit cannot be applied to the table as it stands now. */
export type MergeFailure =
  | {
    readonly _tag: "EditConflict";
    readonly conflicts: readonly EntryConflict[];
  }
  | { readonly _tag: "EditInvalid"; readonly findings: readonly Finding[] };

/** A table with the changes that it took to get there. */
export interface MergeResult {
  readonly table: Table;
  /** What differs from the table that the changes were applied to. */
  readonly changes: readonly Change[];
}

/**
 * Applies changes to a table that may have moved on since they were made.
 *
 * Entries that nobody else has touched take the change; entries that already
 * are as wanted stay. An entry that someone else changed otherwise is a
 * conflict, and then nothing is applied.
 *
 * @example
 * ```ts
 * const changes = diffTables(read, wanted);
 * mergeChanges(latest, changes).match(
 *   ({ table }) => write(table),
 *   (failure) => show(failure),
 * );
 * ```
 */
export function mergeChanges(
  table: Table,
  changes: readonly Change[],
): Result<MergeResult, MergeFailure> {
  const conflicts = changes.flatMap((change) => conflictOf(table, change));
  if (conflicts.length > 0) return err({ _tag: "EditConflict", conflicts });
  const merged = SECTIONS.reduce(
    (result, section) => withSection(result, section, changes),
    table,
  );
  // Each edit may be valid by itself and the two together not: one removes a
  // workspace, the other adds a row to it.
  return parseTable(merged)
    .mapErr((findings): MergeFailure => ({ _tag: "EditInvalid", findings }))
    .andThen((valid) =>
      ok({ table: valid, changes: diffTables(table, valid) })
    );
}

/** The changes that take back the given ones, in reverse order. */
export function invertChanges(changes: readonly Change[]): readonly Change[] {
  return changes.toReversed().map(({ section, key, before, after }) => ({
    section,
    key,
    ...(after === undefined ? {} : { before: after }),
    ...(before === undefined ? {} : { after: before }),
  }));
}

function conflictOf(
  table: Table,
  { section, key, before, after }: Change,
): readonly EntryConflict[] {
  const theirs = entriesByKey(section, table).get(key);
  if (entriesEqual(theirs, before) || entriesEqual(theirs, after)) return [];
  return [{
    section,
    key,
    ...(before === undefined ? {} : { base: before }),
    ...(after === undefined ? {} : { mine: after }),
    ...(theirs === undefined ? {} : { theirs }),
  }];
}

function withSection(
  table: Table,
  section: Section,
  changes: readonly Change[],
): Table {
  const entries = new Map(entriesByKey(section, table));
  for (const change of changes) {
    if (change.section !== section) continue;
    if (change.after === undefined) entries.delete(change.key);
    else entries.set(change.key, change.after);
  }
  return { ...table, [section]: [...entries.values()] };
}
