/**
 * Export of the table's rows as CSV for spreadsheets.
 *
 * @module
 */
import { stringify } from "csv-stringify/sync";
import { COLUMNS } from "./csv_columns.ts";
import type { Row } from "./table.ts";

/**
 * Formats rows as CSV. The byte order mark, for UTF-8, and CRLF line ends keep
 * spreadsheets from misreading names. Every text cell is quoted; an absent limit
 * is an empty cell.
 *
 * A cell that starts like a formula gets a leading apostrophe. Names in a valid
 * table cannot start like that, but a spreadsheet would execute a formula from an
 * invalid table.
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
