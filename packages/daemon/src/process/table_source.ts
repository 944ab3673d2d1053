/**
 * Access to the current version of the operators' table.
 *
 * @module
 */
import type { Table } from "@umbermast/table";

/** The table that is in effect at this daemon. */
export interface TableSource {
  current(): Table;
  /**
   * Calls the listener after each change of the table.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: () => void): () => void;
}
