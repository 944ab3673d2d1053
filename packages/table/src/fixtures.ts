/**
 * A small valid table for tests of this package.
 *
 * @internal
 * @module
 */
import type { Row, Table } from "./table.ts";

/** The default row, with the given fields replaced. */
export function rowOf(fields: Partial<Row> = {}): Row {
  return { workspace: "office", class: "quote", weight: 1, ...fields };
}

/**
 * A table of two classes, two workspaces, three rows and two services, with the
 * given sections replaced.
 */
export function tableOf(fields: Partial<Table> = {}): Table {
  return {
    classes: [
      {
        name: "quote",
        tier: 0,
        target: { firstTokenMs: 1500 },
        timeoutMs: 10_000,
        minimumShare: 0.1,
      },
      {
        name: "cut-sheet",
        tier: 2,
        target: { wholeAnswerMs: 120_000 },
        timeoutMs: 300_000,
        minimumShare: 0.2,
      },
    ],
    workspaces: [
      {
        name: "office",
        keyDigests: ["a".repeat(64)],
        defaultClass: "quote",
      },
      {
        name: "fitters",
        keyDigests: ["b".repeat(64)],
        defaultClass: "cut-sheet",
      },
    ],
    rows: [
      rowOf(),
      rowOf({ workspace: "fitters", weight: 2, inFlight: 4 }),
      rowOf({ workspace: "fitters", class: "cut-sheet", tokensPerSecond: 900 }),
    ],
    services: [
      {
        name: "drafting-llm",
        kind: "model",
        models: ["draft-7b"],
        checksFencing: true,
        slotsPerRunner: 16,
      },
      {
        name: "yard-app",
        kind: "plain",
        models: [],
        checksFencing: false,
        slotsPerRunner: 8,
      },
    ],
    ...fields,
  };
}
