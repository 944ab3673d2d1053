/**
 * Three-way merge: applies changes that were made to one version of the table to
 * a later version.
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

/** An entry that this edit and a concurrent edit changed differently. */
export interface EntryConflict {
  readonly section: Section;
  readonly key: string;
  /** Entry that the edit was made from; absent if it did not exist. */
  readonly base?: Entry;
  /** Entry that the edit sets; absent if the edit removes it. */
  readonly mine?: Entry;
  /** Entry that the table now holds; absent if it was removed. */
  readonly theirs?: Entry;
}

/** Reasons why an edit cannot be applied to the current table. */
export type MergeFailure =
  | {
    readonly _tag: "EditConflict";
    readonly conflicts: readonly EntryConflict[];
  }
  | { readonly _tag: "EditInvalid"; readonly findings: readonly Finding[] };

/** The merged table and the changes that led to it. */
export interface MergeResult {
  readonly table: Table;
  /** Differences from the table that the changes were applied to. */
  readonly changes: readonly Change[];
}

/**
 * Applies changes to a table that may have been edited since they were made.
 *
 * A change applies if its entry is the same as when the change was made, and has
 * no effect if the entry already has the new value. Otherwise the change
 * conflicts; if any change conflicts, none is applied.
 *
 * @example
 * ```ts
 * const changes = diffTables(base, wanted);
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
  // Two edits that are valid separately may be invalid together: one removes a
  // workspace and the other adds a row for it.
  return parseTable(merged)
    .mapErr((findings): MergeFailure => ({ _tag: "EditInvalid", findings }))
    .andThen((valid) =>
      ok({ table: valid, changes: diffTables(table, valid) })
    );
}

/** Returns the changes that revert the given ones, in reverse order. */
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
