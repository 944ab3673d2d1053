/**
 * The columns of the CSV form of the table's rows.
 *
 * @module
 */
import type { Row } from "./table.ts";

/** A column, named as the field of a row. */
export type Column = keyof Row;

/** The columns in the order in which they are written. */
export const COLUMNS: readonly Column[] = [
  "workspace",
  "class",
  "weight",
  "requestsPerSecond",
  "tokensPerSecond",
  "inFlight",
];

/** Columns that hold text; the others hold numbers. */
export const TEXT_COLUMNS: ReadonlySet<Column> = new Set([
  "workspace",
  "class",
]);
