/**
 * The object that holds the table in the platform's store.
 *
 * @module
 */
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Change } from "./change.ts";
import type { Finding } from "./finding.ts";
import { parseTable } from "./parse.ts";
import type { Table } from "./table.ts";

/** Kind of the object in the store. */
export const TABLE_KIND = "tables";

/** Name of the object in the store. */
export const TABLE_NAME = "main";

/** Who edits, when and why. */
export interface EditNote {
  /** Unique for each edit; an edit that is tried again keeps it. */
  readonly editId: string;
  /** Name of the operator. */
  readonly editor: string;
  /** Epoch milliseconds. */
  readonly at: number;
  readonly note?: string;
}

/** One accepted edit, as the history keeps it. */
export interface HistoryEntry extends EditNote {
  /** 1 for the first edit of a table, then without gaps. */
  readonly sequence: number;
  readonly changes: readonly Change[];
}

/** The value of the stored object. */
export interface StoredTable extends EditNote {
  readonly table: Table;
  /** Sequence of the last edit; the number of edits so far. */
  readonly sequence: number;
  /** The latest edits, oldest first; older ones are in archive objects. */
  readonly history: readonly HistoryEntry[];
}

/**
 * The value of the stored object for a table that has no earlier version.
 *
 * @example
 * ```ts
 * const value = storedTable(table, { editId: "setup", editor: "ana", at: Date.now() });
 * store.write({ kind: TABLE_KIND, name: TABLE_NAME, value }, { ifVersion: 0 });
 * ```
 */
export function storedTable(table: Table, edit: EditNote): StoredTable {
  return {
    table,
    ...edit,
    sequence: 1,
    history: [{ ...edit, sequence: 1, changes: [] }],
  };
}

/**
 * Reads the value of the stored object. Only `table` is needed; a value written
 * by hand may leave out the rest.
 */
export function parseStoredTable(
  value: unknown,
): Result<StoredTable, readonly Finding[]> {
  if (typeof value !== "object" || value === null || !("table" in value)) {
    return err([{ place: "", message: 'Expected an object with a "table"' }]);
  }
  const stored = value as Partial<StoredTable>;
  return parseTable(stored.table)
    .mapErr((findings) =>
      findings.map(({ place, message }) => ({
        place: `/table${place}`,
        message,
      }))
    )
    .andThen((table) =>
      ok({
        table,
        editId: text(stored.editId),
        editor: text(stored.editor),
        at: typeof stored.at === "number" ? stored.at : 0,
        ...(typeof stored.note === "string" ? { note: stored.note } : {}),
        sequence: Number.isInteger(stored.sequence)
          ? stored.sequence as number
          : 0,
        history: Array.isArray(stored.history) ? stored.history : [],
      })
    );
}

function text(value: unknown): string {
  return typeof value === "string" ? value : "";
}
