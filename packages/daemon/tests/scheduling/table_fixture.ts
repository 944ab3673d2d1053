/**
 * The table of classes and workspaces that tests edit.
 *
 * @module
 */
import type { Class, Row, Table } from "@umbermast/table";
import type { TableSource } from "../../src/process/table_source.ts";
import { SERVICE } from "./runner_fixture.ts";

/** A table that tests edit. */
export class TestTable implements TableSource {
  #table: Table;
  readonly #listeners = new Set<() => void>();

  constructor(table: Table) {
    this.#table = table;
  }

  current(): Table {
    return this.#table;
  }

  subscribe(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  edit(table: Table): void {
    this.#table = table;
    for (const listener of this.#listeners) listener();
  }
}

export function classOf(
  name: string,
  tier: number,
  fields: Partial<Class> = {},
): Class {
  return {
    name,
    tier,
    target: {},
    timeoutMs: 60_000,
    minimumShare: 0,
    ...fields,
  };
}

export function rowOf(fields: Partial<Row> = {}): Row {
  return { workspace: "member-1", class: "quote", weight: 1, ...fields };
}

/** Three tiers: quote, query, cut-sheet. */
export function tableOf(fields: Partial<Table> = {}): Table {
  return {
    classes: [
      classOf("quote", 0, { minimumShare: 0.2 }),
      classOf("query", 1, { minimumShare: 0.1 }),
      classOf("cut-sheet", 2, { minimumShare: 0.1 }),
    ],
    workspaces: [],
    rows: [],
    services: [{
      name: SERVICE,
      kind: "model",
      models: [],
      checksFencing: true,
      slotsPerRunner: 2,
    }],
    ...fields,
  };
}
