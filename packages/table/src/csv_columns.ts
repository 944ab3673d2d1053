/**
 * The columns of the CSV form of the table's rows.
 *
 * @module
 */
import type { Row } from "./table.ts";

/** A column, which has the name of a row's field. */
export type Column = keyof Row;

/** The columns in the order of a written file. */
export const COLUMNS: readonly Column[] = [
  "workspace",
  "class",
  "weight",
  "requestsPerSecond",
  "tokensPerSecond",
  "inFlight",
];

/** Columns that contain text; the others contain numbers. */
export const TEXT_COLUMNS: ReadonlySet<Column> = new Set([
  "workspace",
  "class",
]);
