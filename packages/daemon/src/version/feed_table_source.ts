/**
 * The table in force, as the scheduler reads it.
 *
 * @module
 */
import type { Table } from "@umbermast/table";
import type { TableSource } from "../process/table_source.ts";
import type { TableFeed } from "./table_feed.ts";

const NO_TABLE: Table = { classes: [], workspaces: [], rows: [], services: [] };

/** Reads a feed; empty until its first version, when no request is admitted. */
export function tableSourceOf(feed: TableFeed): TableSource {
  return {
    current: () => feed.current()?.table ?? NO_TABLE,
    subscribe: (listener) => feed.subscribe(() => listener()),
  };
}
