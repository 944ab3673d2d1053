/**
 * Tables of the planned shape, and edits of them.
 *
 * @module
 */
import type { StoredTable, Table } from "@umbermast/table";

const TIERS = 6;
const MODELS = 11;

function tableOf(rows: number): Table {
  const workspaces = Math.ceil(rows / TIERS);
  return {
    classes: Array.from({ length: TIERS }, (_, tier) => ({
      name: `class-${tier}`,
      tier,
      target: { firstTokenMs: 1_500, betweenTokensMs: 64 },
      timeoutMs: 60_000,
      minimumShare: 0.05,
    })),
    workspaces: Array.from({ length: workspaces }, (_, i) => ({
      name: `workspace-${i}`,
      keyDigests: [i.toString(16).padStart(64, "0")],
      defaultClass: "class-0",
    })),
    rows: Array.from({ length: rows }, (_, i) => ({
      workspace: `workspace-${Math.floor(i / TIERS)}`,
      class: `class-${i % TIERS}`,
      weight: 1,
      requestsPerSecond: 50,
      inFlight: 200,
    })),
    services: [{
      name: "service-1",
      kind: "model",
      models: Array.from({ length: MODELS }, (_, i) => `model-${i}`),
      checksFencing: true,
      slotsPerRunner: 16,
    }],
  };
}

/** The stored table after `edits` edits, each of which changes one row. */
export function storedTableOf(rows: number, edits: number): StoredTable {
  const table = tableOf(rows);
  const changed = rows === 0 ? 0 : edits % rows;
  return {
    table: {
      ...table,
      rows: table.rows.map((row, i) =>
        i === changed ? { ...row, weight: 1 + edits } : row
      ),
    },
    editId: `edit-${edits}`,
    editor: "measurement",
    at: 0,
    sequence: edits + 1,
    history: [],
  };
}
