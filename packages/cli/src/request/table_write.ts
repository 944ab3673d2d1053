/**
 * Commands that edit the table: set, edit, rollback, resolve.
 *
 * @module
 */
import {
  diffTables,
  importRows,
  newEditId,
  parseTable,
  resolveEdit,
  tableAt,
} from "@umbermast/table";
import type { Finding, Table, VersionedTable } from "@umbermast/table";
import * as Effect from "effect/Effect";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { EXIT_CODE } from "../process/exit_codes.ts";
import { escapeText } from "../process/text.ts";
import { storeOf } from "./context.ts";
import type { Context } from "./context.ts";
import { runEdit } from "./edit.ts";
import type { EditFlags } from "./edit.ts";
import { orInputFailure, storeFailure } from "./failures.ts";
import { failure } from "./report.ts";
import type { CommandFailure, Report } from "./report.ts";
import { parseRowSetting, withoutRow, withRowSet } from "./row_fields.ts";
import type { RowSetting } from "./row_fields.ts";
import { currentTable } from "./table_read.ts";

/** `table set`: sets fields of one row. */
export function tableSet(
  context: Context,
  setting: RowSetting,
  flags: EditFlags,
): Effect.Effect<Report, CommandFailure> {
  return editTable(context, (table) => withRowSet(table, setting), flags);
}

/** Flags of `table edit`. */
export interface RowEdits extends EditFlags {
  /** `WORKSPACE/CLASS:FIELD=VALUE,...` each. */
  readonly row?: readonly string[];
  /** `WORKSPACE/CLASS` each. */
  readonly remove?: readonly string[];
  /** Replace all rows by the CSV on standard input. */
  readonly csv?: boolean;
}

/** `table edit`: several rows in one edit. */
export function tableEdit(
  context: Context,
  edits: RowEdits,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const csv = edits.csv === true
      ? yield* Effect.promise(() => context.io.input())
      : undefined;
    const rows = edits.row ?? [];
    const removed = edits.remove ?? [];
    if (csv === undefined && rows.length + removed.length === 0) {
      return yield* Effect.fail(failure(EXIT_CODE.usage, {
        code: "edit_missing",
        message: "Nothing to edit: give --row, --remove or --csv",
      }));
    }
    return yield* editTable(context, (table) => {
      const start = csv === undefined ? ok(table) : importRows(table, csv);
      return applyAll(start, [
        ...rows.map((text) => (before: Table) =>
          parseRowSetting(text).andThen((set) => withRowSet(before, set))
        ),
        ...removed.map((key) => (before: Table) => withoutRow(before, key)),
      ]);
    }, edits);
  });
}

/** `table rollback`: the table as it stood right after an edit. */
export function tableRollback(
  context: Context,
  options: { readonly editId: string },
  flags: EditFlags,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const store = yield* storeOf(context);
    const read = yield* currentTable(store);
    const { editId } = options;
    const earlier = yield* Effect.mapError(
      tableAt(store, { current: read, editId }),
      (error) => storeFailure(error),
    );
    const changes = diffTables(read.stored.table, earlier);
    const note = `rollback to ${editId}`;
    return yield* runEdit(context, { store, read, changes, note }, flags);
  });
}

/** `table resolve`: settles whether an edit was accepted. */
export function tableResolve(
  context: Context,
  options: { readonly editId: string },
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const store = yield* storeOf(context);
    const { editId } = options;
    const read = yield* currentTable(store);
    const closing = {
      editId: newEditId(read.stored.sequence),
      editor: context.settings.editor,
      at: Date.now(),
    };
    const outcome = yield* Effect.mapError(
      resolveEdit(store, { editId, closing }),
      (error) => storeFailure(error, editId),
    );
    const accepted = outcome._tag === "Accepted";
    const shown = escapeText(editId);
    return {
      text: accepted
        ? `Edit ${shown} was accepted, as edit ${outcome.entry.sequence}`
        : `Edit ${shown} was not accepted and cannot be any more; repeat it if it is still wanted`,
      json: { editId, accepted, version: outcome.version },
    };
  });
}

function editTable(
  context: Context,
  edit: (table: Table) => Result<Table, readonly Finding[]>,
  flags: EditFlags,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const store = yield* storeOf(context);
    const read: VersionedTable = yield* currentTable(store);
    const { table } = read.stored;
    const wanted = yield* orInputFailure(
      edit(table).andThen((edited) => parseTable(edited)),
      "the edit",
    );
    const changes = diffTables(table, wanted);
    return yield* runEdit(context, { store, read, changes }, flags);
  });
}

function applyAll(
  start: Result<Table, readonly Finding[]>,
  steps: readonly ((table: Table) => Result<Table, readonly Finding[]>)[],
): Result<Table, readonly Finding[]> {
  if (start.isErr()) return start;
  let table = start.value;
  const findings: Finding[] = [];
  for (const step of steps) {
    const next = step(table);
    if (next.isOk()) table = next.value;
    else findings.push(...next.error);
  }
  return findings.length === 0 ? ok(table) : err(findings);
}
