/**
 * The stored object that holds the table, with its kind, name and value.
 *
 * @module
 */
import { err, Result } from "neverthrow";
import type { Finding } from "./finding.ts";
import { decodeHistory } from "./history_entry.ts";
import type { EditMetadata, HistoryEntry } from "./history_entry.ts";
import { parseTable } from "./parse.ts";
import type { Table } from "./table.ts";

/** Kind of the stored object. */
export const TABLE_KIND = "tables";

/** Name of the stored object. */
export const TABLE_NAME = "main";

/** The value of the stored object. */
export interface StoredTable extends EditMetadata {
  readonly table: Table;
  /** Sequence of the last edit, which is the number of edits so far. */
  readonly sequence: number;
  /** The latest edits, oldest first; older ones are in page objects. */
  readonly history: readonly HistoryEntry[];
}

/**
 * Returns the value of the stored object for the first version of a table.
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
 * Validates the value of the stored object. Only `table` is required; a value
 * written by hand may omit the other fields.
 */
export function parseStoredTable(
  value: unknown,
): Result<StoredTable, readonly Finding[]> {
  if (typeof value !== "object" || value === null || !("table" in value)) {
    return err([{ place: "", message: 'Expected an object with a "table"' }]);
  }
  const stored: Partial<Record<keyof StoredTable, unknown>> = value;
  const parsed = Result.combineWithAllErrors([
    parseTable(stored.table).mapErr((findings) =>
      prefixPlaces("/table", findings)
    ),
    decodeHistory(stored.history ?? []).mapErr((findings) =>
      prefixPlaces("/history", findings)
    ),
  ]);
  return parsed
    .mapErr((findings) => findings.flat())
    .map(([table, history]) => ({
      table,
      editId: stringOrEmpty(stored.editId),
      editor: stringOrEmpty(stored.editor),
      at: typeof stored.at === "number" ? stored.at : 0,
      ...(typeof stored.note === "string" ? { note: stored.note } : {}),
      sequence: typeof stored.sequence === "number" ? stored.sequence : 0,
      history,
    }));
}

function prefixPlaces(
  place: string,
  findings: readonly Finding[],
): readonly Finding[] {
  return findings.map((finding) => ({
    ...finding,
    place: `${place}${finding.place}`,
  }));
}

function stringOrEmpty(value: unknown): string {
  return typeof value === "string" ? value : "";
}
