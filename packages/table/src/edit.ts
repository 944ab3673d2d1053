/**
 * Edits of the stored table: creating the table, applying an edit to it and
 * finding an edit in the history.
 *
 * @module
 */
import type { Store, Unavailable } from "@umbermast/coordination";
import * as Effect from "effect/Effect";
import type { Change } from "./change.ts";
import { commit } from "./commit.ts";
import type {
  CommitFailure,
  CommitOptions,
  Decision,
  VersionedTable,
} from "./commit.ts";
import { readHistory } from "./history.ts";
import type { HistoryMissing } from "./history.ts";
import type { EditMetadata, HistoryEntry } from "./history_entry.ts";
import { mergeChanges } from "./merge.ts";
import type { MergeFailure, MergeResult } from "./merge.ts";
import { initialStoredTable } from "./stored_table.ts";
import type { StoredTable } from "./stored_table.ts";
import type { Table } from "./table.ts";

/** An edit to apply to the stored table. */
export interface Edit extends EditMetadata {
  /** Sequence number of the stored table that the edit is based on. */
  readonly baseSequence: number;
  readonly changes: readonly Change[];
}

/**
 * The edit is durable in the store, written by this call or by an earlier one with
 * the same id.
 */
export interface Accepted {
  readonly _tag: "Accepted";
  /** Version of the stored table, which contains the edit. */
  readonly version: number;
  /** The stored value at that version. */
  readonly stored: StoredTable;
  readonly entry: HistoryEntry;
}

/** The table already has the values that the edit sets; nothing was written. */
export interface Unchanged {
  readonly _tag: "Unchanged";
  readonly version: number;
}

/** The store holds no table. */
export interface TableMissing {
  readonly _tag: "TableMissing";
}

/** The store already holds a table. */
export interface TableExists {
  readonly _tag: "TableExists";
  readonly version: number;
}

/**
 * The edit was not accepted and no longer can be: `resolveEdit` has closed it with a
 * history entry of its own.
 */
export interface EditClosed {
  readonly _tag: "EditClosed";
  readonly entry: HistoryEntry;
}

/** Failures after which an edit is not accepted or its outcome is unknown. */
export type EditFailure =
  | CommitFailure
  | MergeFailure
  | TableMissing
  | EditClosed;

/**
 * Applies an edit by conditional update.
 *
 * Concurrent edits of other table entries are merged; if a concurrent edit changed
 * the same table entry, this one fails with a conflict. After a lost reply, the table is
 * read back and its history searched for the edit's id. So the edit is reported
 * as accepted exactly when it was accepted, and it is never applied twice, even
 * if this function is called again with the same id.
 *
 * @example
 * ```ts
 * const outcome = await Effect.runPromise(applyEdit(store, {
 *   editId: newEditId(current.stored.sequence),
 *   editor: "ana",
 *   at: Date.now(),
 *   baseSequence: current.stored.sequence,
 *   changes: diffTables(current.stored.table, wanted),
 * }));
 * ```
 */
export function applyEdit(
  store: Store,
  edit: Edit,
  options: CommitOptions = {},
): Effect.Effect<Accepted | Unchanged, EditFailure> {
  return commit(store, (current) => decideEdit(store, edit, current), options);
}

/**
 * Writes the first version of the table. Calling it again with the same edit id
 * succeeds as long as the table has not been edited; afterwards it fails with
 * `TableExists`.
 */
export function createTable(
  store: Store,
  initial: { readonly table: Table; readonly metadata: EditMetadata },
  options: CommitOptions = {},
): Effect.Effect<Accepted, CommitFailure | TableExists> {
  const value = initialStoredTable(initial.table, initial.metadata);
  const entry = value.history[0] as HistoryEntry;
  return commit(store, (current) =>
    Effect.succeed(
      current === undefined
        ? writeDecision(value, entry)
        : decideCreate(current, initial.metadata.editId, entry),
    ), options);
}

/**
 * Finds the history entry of an edit, or the one with which `resolveEdit` closed
 * the edit.
 *
 * @internal
 */
export function findEdit(
  store: Store,
  current: VersionedTable,
  edit: { readonly editId: string; readonly baseSequence: number },
): Effect.Effect<HistoryEntry | undefined, Unavailable | HistoryMissing> {
  const matches = (entry: HistoryEntry) =>
    entry.editId === edit.editId || entry.closes === edit.editId;
  const entries = readHistory(store, current.stored, {
    after: edit.baseSequence,
    until: matches,
  });
  return Effect.map(entries, (found) => found.find(matches));
}

/** Returns the stored value with one more edit applied. @internal */
export function appendEdit(
  stored: StoredTable,
  edit: EditMetadata & { readonly closes?: string },
  merged: MergeResult,
): StoredTable {
  const { editId, editor, at, note, closes } = edit;
  const sequence = stored.sequence + 1;
  const metadata: EditMetadata = {
    editId,
    editor,
    at,
    ...(note === undefined ? {} : { note }),
  };
  const entry: HistoryEntry = {
    ...metadata,
    sequence,
    ...(closes === undefined ? {} : { closes }),
    changes: merged.changes,
  };
  return {
    table: merged.table,
    ...metadata,
    sequence,
    history: [...stored.history, entry],
  };
}

/**
 * Returns the decision to write a value whose last history entry is the edit.
 *
 * @internal
 */
export function writeDecision(
  value: StoredTable,
  entry: HistoryEntry,
): Decision<Accepted, never> {
  return {
    _tag: "Write",
    value,
    toResult: (written) => ({ _tag: "Accepted", ...written, entry }),
  };
}

function decideEdit(
  store: Store,
  edit: Edit,
  current: VersionedTable | undefined,
): Effect.Effect<
  Decision<Accepted | Unchanged, MergeFailure | TableMissing | EditClosed>,
  Unavailable | HistoryMissing
> {
  return Effect.gen(function* () {
    if (current === undefined) {
      return { _tag: "Refused", error: { _tag: "TableMissing" } } as const;
    }
    const { version, stored } = current;
    const entry = yield* findEdit(store, current, edit);
    if (entry?.closes === edit.editId) {
      return { _tag: "Refused", error: { _tag: "EditClosed", entry } } as const;
    }
    if (entry !== undefined) {
      const result: Accepted = { _tag: "Accepted", version, stored, entry };
      return { _tag: "Done", result } as const;
    }
    const merged = mergeChanges(stored.table, edit.changes);
    if (merged.isErr()) {
      return { _tag: "Refused", error: merged.error } as const;
    }
    if (merged.value.changes.length === 0) {
      const result: Unchanged = { _tag: "Unchanged", version };
      return { _tag: "Done", result } as const;
    }
    const value = appendEdit(stored, edit, merged.value);
    return writeDecision(value, value.history.at(-1) as HistoryEntry);
  });
}

function decideCreate(
  { version, stored }: VersionedTable,
  editId: string,
  entry: HistoryEntry,
): Decision<Accepted, TableExists> {
  const isSameEdit = stored.sequence === 1 && stored.editId === editId;
  return isSameEdit
    ? { _tag: "Done", result: { _tag: "Accepted", version, stored, entry } }
    : { _tag: "Refused", error: { _tag: "TableExists", version } };
}
