/**
 * Index of the table's rows by workspace and class.
 *
 * @module
 */
import type { Row, Table } from "@umbermast/table";

/** Finds rows of one version of the table. */
export class RowIndex {
  readonly #rows: ReadonlyMap<string, Row>;

  constructor(table: Table) {
    this.#rows = new Map(table.rows.map((row) => [keyOf(row), row]));
  }

  /** The row of a workspace and class, if there is one. */
  find(
    key: { readonly workspace: string; readonly class: string },
  ): Row | undefined {
    return this.#rows.get(keyOf(key));
  }
}

function keyOf(
  key: { readonly workspace: string; readonly class: string },
): string {
  return `${key.class}\n${key.workspace}`;
}
