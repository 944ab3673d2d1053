/**
 * The operators' table and what is done with it.
 *
 * @module
 */
export type {
  Class,
  LatencyTarget,
  Row,
  Service,
  Table,
  Workspace,
} from "./table.ts";
export type { Finding } from "./finding.ts";
export { pointer } from "./finding.ts";
export { parseTable } from "./parse.ts";
export type { Change, Entry, Section, SectionEntries } from "./change.ts";
export { diffTables, entriesByKey, keyOf, SECTIONS } from "./change.ts";
export type { EntryConflict, Merged, MergeFailure } from "./merge.ts";
export { invertChanges, mergeChanges } from "./merge.ts";
export { COLUMNS } from "./csv_columns.ts";
export { importRows, MAX_CSV_BYTES } from "./csv_read.ts";
export { rowsToCsv } from "./csv_write.ts";
export type { EditNote, HistoryEntry, StoredTable } from "./stored_table.ts";
export {
  parseStoredTable,
  storedTable,
  TABLE_KIND,
  TABLE_NAME,
} from "./stored_table.ts";
