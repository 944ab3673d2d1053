/**
 * The operators' table: validation, comparison, merging, CSV import and export,
 * and edits of the stored table.
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
export { jsonPointer } from "./finding.ts";
export { parseTable } from "./parse.ts";
export type { Change, Entry, Section, SectionEntries } from "./change.ts";
export { diffTables, entriesByKey, keyOf, SECTIONS } from "./change.ts";
export type { EntryConflict, MergeFailure, MergeResult } from "./merge.ts";
export { invertChanges, mergeChanges } from "./merge.ts";
export { COLUMNS } from "./csv_columns.ts";
export { importRows, MAX_CSV_BYTES } from "./csv_read.ts";
export { rowsToCsv } from "./csv_write.ts";
export type { EditMetadata, HistoryEntry } from "./history_entry.ts";
export type { StoredTable } from "./stored_table.ts";
export {
  initialStoredTable,
  parseStoredTable,
  TABLE_KIND,
  TABLE_NAME,
} from "./stored_table.ts";
export type {
  CommitFailure,
  CommitOptions,
  NotAccepted,
  StoredInvalid,
  TooLarge,
  UnknownWhetherAccepted,
  VersionedTable,
} from "./commit.ts";
export { readTable } from "./commit.ts";
export type { HistoryMissing } from "./history.ts";
export { HISTORY_KIND, readHistory } from "./history.ts";
export type {
  Accepted,
  Edit,
  EditClosed,
  EditFailure,
  TableExists,
  TableMissing,
  Unchanged,
} from "./edit.ts";
export { applyEdit, createTable } from "./edit.ts";
export { newEditId } from "./edit_id.ts";
export type { Closed } from "./resolve.ts";
export { resolveEdit } from "./resolve.ts";
export type { EditNotFound } from "./table_at.ts";
export { tableAt } from "./table_at.ts";
