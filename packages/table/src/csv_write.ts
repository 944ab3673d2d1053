/**
 * The table's rows as CSV, for a spreadsheet.
 *
 * @module
 */
import { stringify } from "csv-stringify/sync";
import { COLUMNS } from "./csv_columns.ts";
import type { Row } from "./table.ts";

/**
 * Writes rows as CSV: UTF-8 with a byte order mark and CRLF line ends, without
 * which spreadsheets misread names; every cell of text quoted; no limit is an
 * empty cell.
 *
 * A cell that begins like a formula gets a leading apostrophe. Names of a valid
 * table cannot begin so, but a spreadsheet would run what a faulty one holds.
 *
 * @example
 * ```ts
 * await writeFile("rows.csv", rowsToCsv(table.rows));
 * ```
 */
export function rowsToCsv(rows: readonly Row[]): string {
  return stringify(rows.map((row) => ({ ...row })), {
    columns: [...COLUMNS],
    header: true,
    bom: true,
    record_delimiter: "windows",
    quoted_string: true,
    escape_formulas: true,
  });
}
