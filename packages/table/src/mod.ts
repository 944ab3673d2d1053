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
export type { EditNote, HistoryEntry, StoredTable } from "./stored_table.ts";
export {
  parseStoredTable,
  storedTable,
  TABLE_KIND,
  TABLE_NAME,
} from "./stored_table.ts";
