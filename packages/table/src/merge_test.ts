import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { diffTables } from "./change.ts";
import { rowOf, tableOf } from "./fixtures.ts";
import { invertChanges, mergeChanges } from "./merge.ts";
import type { Row, Table } from "./table.ts";

function withRow(table: Table, row: Row): Table {
  const others = table.rows.filter((other) =>
    other.workspace !== row.workspace || other.class !== row.class
  );
  return { ...table, rows: [...others, row] };
}

/** Asserts that two tables are equal, ignoring the order of entries. */
function assertSame(left: Table, right: Table): void {
  assert.deepEqual(diffTables(left, right), []);
}

test("the order of entries and fields is ignored", () => {
  const table = tableOf();
  const rows = table.rows.toReversed().map((row) =>
    Object.fromEntries(Object.entries(row).reverse()) as unknown as Row
  );
  assertSame(table, { ...table, rows });
});

test("changes of different rows are merged", () => {
  const base = tableOf();
  const mine = withRow(base, rowOf({ weight: 5 }));
  const theirs = withRow(base, rowOf({ workspace: "fitters", weight: 7 }));
  const merged = mergeChanges(theirs, diffTables(base, mine))._unsafeUnwrap();
  assertSame(
    merged.table,
    withRow(withRow(base, rowOf({ weight: 5 })), theirs.rows.at(-1) as Row),
  );
});

test("changes of the same row conflict, and the conflict shows all three values", () => {
  const base = tableOf();
  const mine = withRow(base, rowOf({ weight: 5 }));
  const theirs = withRow(base, rowOf({ weight: 7 }));
  assert.deepEqual(
    mergeChanges(theirs, diffTables(base, mine))._unsafeUnwrapErr(),
    {
      _tag: "EditConflict",
      conflicts: [{
        section: "rows",
        key: "office/quote",
        base: rowOf(),
        mine: rowOf({ weight: 5 }),
        theirs: rowOf({ weight: 7 }),
      }],
    },
  );
});

test("removing a row conflicts with changing it", () => {
  const base = tableOf();
  const mine = withRow(base, rowOf({ weight: 5 }));
  const theirs = { ...base, rows: base.rows.slice(1) };
  const failure = mergeChanges(theirs, diffTables(base, mine))
    ._unsafeUnwrapErr();
  assert.equal(failure._tag, "EditConflict");
});

test("the same change made by both sides is not a conflict and has no effect", () => {
  const base = tableOf();
  const mine = withRow(base, rowOf({ weight: 5 }));
  const merged = mergeChanges(mine, diffTables(base, mine))._unsafeUnwrap();
  assert.deepEqual(merged.changes, []);
});

test("two valid edits that are invalid together are rejected", () => {
  const base = tableOf();
  const mine = withRow(base, rowOf({ class: "cut-sheet" }));
  const theirs = {
    ...base,
    workspaces: base.workspaces.slice(1),
    rows: base.rows.slice(1),
  };
  assert.deepEqual(
    mergeChanges(theirs, diffTables(base, mine))._unsafeUnwrapErr(),
    {
      _tag: "EditInvalid",
      findings: [{
        place: "/rows/2/workspace",
        message: 'Unknown workspace "office"',
      }],
    },
  );
});

test("inverted changes revert any change", () => {
  const rowLists = fc.array(
    fc.record({
      workspace: fc.constantFrom("office", "fitters"),
      class: fc.constantFrom("quote", "cut-sheet"),
      weight: fc.integer({ min: 1, max: 9 }),
    }),
    { maxLength: 6 },
  );
  fc.assert(
    fc.property(rowLists, (rows) => {
      const base = tableOf();
      const edited = rows.reduce(withRow, { ...base, rows: [] } as Table);
      const changes = diffTables(base, edited);
      const reverted = mergeChanges(edited, invertChanges(changes))
        ._unsafeUnwrap();
      assertSame(reverted.table, base);
    }),
    { seed: 7, numRuns: 200 },
  );
});
