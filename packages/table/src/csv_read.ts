/**
 * Import of the table's rows from CSV as saved by a spreadsheet.
 *
 * @module
 */
import { CsvError, parse } from "csv-parse/sync";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { COLUMNS, TEXT_COLUMNS } from "./csv_columns.ts";
import type { Column } from "./csv_columns.ts";
import type { Finding } from "./finding.ts";
import { parseTable } from "./parse.ts";
import type { Row, Table } from "./table.ts";

/** Bounds the work for one file; a table of the planned size takes 0.2 MB. */
export const MAX_CSV_BYTES = 4_000_000;

/** Supported delimiters; which one a spreadsheet uses depends on its locale. */
const DELIMITERS = [",", ";", "\t"];
const NUMBER = /^\d+(\.\d+)?([eE][+-]?\d+)?$/;
const DECIMAL_COMMA = /^\d+,\d+$/;

/** A record of the file, with its row number in the spreadsheet. */
interface CsvRecord {
  readonly row: number;
  readonly cells: readonly string[];
}

/** A parsed row, with its row number in the spreadsheet. */
interface NumberedRow {
  readonly row: number;
  readonly value: Row;
}

/**
 * Replaces the table's rows with those of a CSV file and validates the result.
 * The places of findings are rows and columns as a spreadsheet shows them.
 *
 * All columns are required, in any order: otherwise a file without the column of
 * a limit would remove that limit from every row. Numbers have a decimal point; a
 * decimal comma is rejected, since "1,500" is ambiguous.
 *
 * @example
 * ```ts
 * importRows(table, await readFile("rows.csv", "utf8")).match(
 *   (edited) => console.log(diffTables(table, edited)),
 *   (findings) => console.error(findings),
 * );
 * ```
 */
export function importRows(
  table: Table,
  csv: string,
): Result<Table, readonly Finding[]> {
  return parseRows(csv).andThen((numbered) => {
    const rows = numbered.map(({ value }) => value);
    return parseTable({ ...table, rows }).mapErr((findings) =>
      findings.map((finding) => withSpreadsheetPlace(finding, numbered))
    );
  });
}

function parseRows(
  csv: string,
): Result<readonly NumberedRow[], readonly Finding[]> {
  return splitRecords(csv).andThen(([header, ...records]) => {
    if (header === undefined) {
      return err([{ place: "row 1", message: "Expected a header" }]);
    }
    const columns = header.cells.map((cell) => cell.trim());
    const findings = headerFindings(columns);
    if (findings.length > 0) return err(findings);
    return parseRecords(records, columns as Column[]);
  });
}

function parseRecords(
  records: readonly CsvRecord[],
  columns: readonly Column[],
): Result<readonly NumberedRow[], readonly Finding[]> {
  const rows: NumberedRow[] = [];
  const findings: Finding[] = [];
  for (const record of records) {
    parseRecord(record, columns).match(
      (row) => rows.push(row),
      (rowFindings) => findings.push(...rowFindings),
    );
  }
  return findings.length === 0 ? ok(rows) : err(findings);
}

function splitRecords(
  csv: string,
): Result<readonly CsvRecord[], readonly Finding[]> {
  if (Buffer.byteLength(csv) > MAX_CSV_BYTES) {
    return err([{
      place: "",
      message: `Cannot read CSV above ${MAX_CSV_BYTES} bytes`,
    }]);
  }
  try {
    const records = parse(csv, {
      bom: true,
      delimiter: detectDelimiter(csv),
      relax_column_count: true,
    });
    return ok(
      records
        .map((cells, index) => ({ row: index + 1, cells }))
        // Spreadsheets save cleared rows as lines of empty cells.
        .filter(({ cells }) => cells.some((cell) => cell.trim() !== "")),
    );
  } catch (error) {
    if (!(error instanceof CsvError)) throw error;
    return err([{ place: `line ${error["lines"]}`, message: error.message }]);
  }
}

/** Returns the delimiter that occurs most often in the first line. */
function detectDelimiter(csv: string): string {
  const [header = ""] = csv.split(/\r?\n/, 1);
  const counts = DELIMITERS.map((delimiter) => header.split(delimiter).length);
  return DELIMITERS[counts.indexOf(Math.max(...counts))] ?? ",";
}

function headerFindings(columns: readonly string[]): readonly Finding[] {
  const known: readonly string[] = COLUMNS;
  const missing = known.filter((column) => !columns.includes(column));
  const unknown = columns.filter((column) => !known.includes(column));
  const duplicate = columns.filter((column, index) =>
    columns.indexOf(column) !== index
  );
  return [
    ...missing.map((column) => `Missing column "${column}"`),
    ...unknown.map((column) => `Unknown column "${column}"`),
    ...duplicate.map((column) => `Duplicate column "${column}"`),
  ].map((message) => ({ place: "row 1", message }));
}

function parseRecord(
  { row, cells }: CsvRecord,
  columns: readonly Column[],
): Result<NumberedRow, readonly Finding[]> {
  if (cells.length !== columns.length) {
    return err([{
      place: `row ${row}`,
      message:
        `Expected ${columns.length} cells, got ${cells.length}; is there a decimal comma?`,
    }]);
  }
  const findings: Finding[] = [];
  const value: Partial<Record<Column, string | number>> = {};
  for (const [index, column] of columns.entries()) {
    parseCell(cells[index] ?? "", column).match(
      (cell) => {
        if (cell !== undefined) value[column] = cell;
      },
      (message) => findings.push({ place: cellPlace(row, column), message }),
    );
  }
  if (findings.length > 0) return err(findings);
  return ok({ row, value: value as unknown as Row });
}

function parseCell(
  cell: string,
  column: Column,
): Result<string | number | undefined, string> {
  const text = cell.trim();
  if (TEXT_COLUMNS.has(column)) {
    return text === "" ? err(`Expected the name of a ${column}`) : ok(text);
  }
  if (text === "" && column === "weight") return err("Expected a weight");
  if (text === "") return ok(undefined);
  if (DECIMAL_COMMA.test(text)) {
    return err(
      `Expected a decimal point, got "${text}"; write "${
        text.replace(",", ".")
      }" or leave out the comma`,
    );
  }
  if (!NUMBER.test(text)) {
    return err(`Expected a number, got ${JSON.stringify(text)}`);
  }
  return ok(Number(text));
}

const ROW_POINTER = /^\/rows\/(\d+)(?:\/(\w+))?$/;

function withSpreadsheetPlace(
  finding: Finding,
  rows: readonly NumberedRow[],
): Finding {
  return {
    place: spreadsheetPlace(finding.place, rows),
    // The message on a duplicate row ends with the place of the first one.
    message: finding.message.replace(
      /\/rows\/\d+$/,
      (place) => spreadsheetPlace(place, rows),
    ),
  };
}

function spreadsheetPlace(place: string, rows: readonly NumberedRow[]): string {
  const match = ROW_POINTER.exec(place);
  const row = rows[Number(match?.[1])]?.row;
  if (match === null || row === undefined) return place;
  return match[2] === undefined ? `row ${row}` : cellPlace(row, match[2]);
}

function cellPlace(row: number, column: string): string {
  return `row ${row}, column "${column}"`;
}
