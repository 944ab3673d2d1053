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
