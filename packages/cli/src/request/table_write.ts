/**
 * Commands that edit the table: set, edit, import, rollback, resolve.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { Store } from "@umbermast/coordination";
import {
  createTable,
  diffTables,
  importRows,
  newEditId,
  parseTable,
  readTable,
  resolveEdit,
  tableAt,
} from "@umbermast/table";
import type { Finding, Table, TableRead } from "@umbermast/table";
import * as Effect from "effect/Effect";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { EXIT_CODE } from "../process/exit_codes.ts";
import { escapeText } from "../process/text.ts";
import { storeOf } from "./context.ts";
import type { Context } from "./context.ts";
import { runEdit } from "./edit.ts";
import type { EditFlags } from "./edit.ts";
import { inputFailure, storeFailure } from "./failures.ts";
import { parseImport } from "./import_file.ts";
import type { ImportFile } from "./import_file.ts";
import { offerVersion } from "./offer.ts";
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

/** `table import`: rows from CSV, or the whole table from JSON. */
export function tableImport(
  context: Context,
  options: { readonly file: string; readonly base?: string },
  flags: EditFlags,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const store = yield* storeOf(context);
    const text = yield* readInput(context, options.file);
    const read = yield* Effect.mapError(
      readTable(store),
      (error) => storeFailure(error),
    );
    const source = parseImport(text, options.file);
    if (source.isErr()) {
      return yield* Effect.fail(
        inputFailure(`Cannot read "${escapeText(options.file)}"`, source.error),
      );
    }
    const file = source.value;
    if (read === undefined) return yield* importFirst(context, store, file);
    const baseId = options.base ?? file.editId;
    // Changes are worked out against what the file was made from, so that
    // edits accepted since then stand, or conflict, instead of being undone.
    const base = baseId === undefined || baseId === read.stored.editId
      ? read.stored.table
      : yield* Effect.mapError(
        tableAt(store, { read, editId: baseId }),
        (error) => storeFailure(error),
      );
    const wanted = yield* orInputFailure(file.apply(base), options.file);
    const changes = diffTables(base, wanted);
    const note = `import ${options.file}`;
    return yield* runEdit(context, { store, read, changes, note }, flags);
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
      tableAt(store, { read, editId }),
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
    const read: TableRead = yield* currentTable(store);
    const { table } = read.stored;
    const wanted = yield* orInputFailure(
      edit(table).andThen((edited) => parseTable(edited)),
      "the edit",
    );
    const changes = diffTables(table, wanted);
    return yield* runEdit(context, { store, read, changes }, flags);
  });
}

function importFirst(
  context: Context,
  store: Store,
  file: ImportFile,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const empty = { classes: [], workspaces: [], rows: [], services: [] };
    const table = yield* orInputFailure(file.apply(empty), "the first table");
    const note = {
      editId: newEditId(0),
      editor: context.settings.editor,
      at: Date.now(),
    };
    const accepted = yield* Effect.mapError(
      createTable(store, { table, note }),
      (error) => storeFailure(error, note.editId),
    );
    const { version, entry } = accepted;
    const { operatorUrls } = context.settings;
    yield* offerVersion(context.operators, operatorUrls, accepted);
    return {
      text: `Wrote the first table as ${entry.editId} at version ${version}`,
      json: { accepted: true, editId: entry.editId, version, changes: [] },
    };
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

function orInputFailure<A>(
  result: Result<A, readonly Finding[]>,
  what: string,
): Effect.Effect<A, CommandFailure> {
  return result.isOk() ? Effect.succeed(result.value) : Effect.fail(
    inputFailure(`Cannot accept ${escapeText(what)}`, result.error),
  );
}

function readInput(
  context: Context,
  file: string,
): Effect.Effect<string, CommandFailure> {
  if (file === "-") return Effect.promise(() => context.io.input());
  return Effect.try({
    try: () => readFileSync(file, "utf8"),
    catch: (error) =>
      failure(EXIT_CODE.usage, {
        code: "file_not_read",
        message: `Cannot read "${escapeText(file)}": ${
          error instanceof Error ? error.message : String(error)
        }`,
      }),
  });
}
