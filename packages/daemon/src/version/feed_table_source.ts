/**
 * Adapts a table feed to the scheduler's table source.
 *
 * @module
 */
import type { Table } from "@umbermast/table";
import type { TableSource } from "../process/table_source.ts";
import type { TableFeed } from "./table_feed.ts";

const NO_TABLE: Table = { classes: [], workspaces: [], rows: [], services: [] };

/** Reads a feed; the table is empty before the first version, when no request is admitted. */
export function tableSourceOf(feed: TableFeed): TableSource {
  return {
    current: () => feed.current()?.table ?? NO_TABLE,
    subscribe: (listener) => feed.subscribe(() => listener()),
  };
}
