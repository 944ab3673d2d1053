/**
 * The object that holds the table in the platform's store.
 *
 * @module
 */
import { err, Result } from "neverthrow";
import type { Finding } from "./finding.ts";
import { decodeHistory } from "./history_entry.ts";
import type { EditMetadata, HistoryEntry } from "./history_entry.ts";
import { parseTable } from "./parse.ts";
import type { Table } from "./table.ts";

/** Kind of the object in the store. */
export const TABLE_KIND = "tables";

/** Name of the object in the store. */
export const TABLE_NAME = "main";

/** The value of the stored object. */
export interface StoredTable extends EditMetadata {
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
 * const value = initialStoredTable(table, { editId: "setup", editor: "ana", at: Date.now() });
 * store.write({ kind: TABLE_KIND, name: TABLE_NAME, value }, { ifVersion: 0 });
 * ```
 */
export function initialStoredTable(
  table: Table,
  edit: EditMetadata,
): StoredTable {
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
  const stored: Partial<Record<keyof StoredTable, unknown>> = value;
  const parsed = Result.combineWithAllErrors([
    parseTable(stored.table).mapErr((findings) => under("/table", findings)),
    decodeHistory(stored.history ?? []).mapErr((findings) =>
      under("/history", findings)
    ),
  ]);
  return parsed
    .mapErr((findings) => findings.flat())
    .map(([table, history]) => ({
      table,
      editId: text(stored.editId),
      editor: text(stored.editor),
      at: typeof stored.at === "number" ? stored.at : 0,
      ...(typeof stored.note === "string" ? { note: stored.note } : {}),
      sequence: typeof stored.sequence === "number" ? stored.sequence : 0,
      history,
    }));
}

function under(
  place: string,
  findings: readonly Finding[],
): readonly Finding[] {
  return findings.map((finding) => ({
    ...finding,
    place: `${place}${finding.place}`,
  }));
}

function text(value: unknown): string {
  return typeof value === "string" ? value : "";
}
