/**
 * Where the scheduler reads the operators' table.
 *
 * @module
 */
import type { Table } from "@umbermast/table";

/** The table in force at this daemon. */
export interface TableSource {
  current(): Table;
  /**
   * Calls the listener after each change of the table.
   *
   * @returns a function that ends the subscription.
   */
  subscribe(listener: () => void): () => void;
}
