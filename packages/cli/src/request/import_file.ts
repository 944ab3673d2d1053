/**
 * Files that `table import` takes.
 *
 * @module
 */
import { importRows, parseTable } from "@umbermast/table";
import type { Finding, Table } from "@umbermast/table";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

/** A file to import. */
export interface ImportFile {
  /** The edit that the file was exported at, when it says so. */
  readonly editId?: string;
  /** The table that the file wants, given the one that it was made from. */
  apply(base: Table): Result<Table, readonly Finding[]>;
}

/** Reads JSON, as exported or a table by itself, or else CSV of the rows. */
export function parseImport(
  text: string,
  file: string,
): Result<ImportFile, readonly Finding[]> {
  const json = file.endsWith(".json") || text.trimStart().startsWith("{");
  if (!json) return ok({ apply: (base) => importRows(base, text) });
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return err([{ place: "", message }]);
  }
  if (typeof value !== "object" || value === null || !("table" in value)) {
    return ok({ apply: () => parseTable(value) });
  }
  const { table } = value;
  const editId = "editId" in value && typeof value.editId === "string"
    ? value.editId
    : undefined;
  return ok({
    ...(editId === undefined ? {} : { editId }),
    apply: () => parseTable(table),
  });
}
