/**
 * `table import`: rows from CSV, or the whole table from JSON.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { Store } from "@umbermast/coordination";
import {
  createTable,
  diffTables,
  newEditId,
  readTable,
  tableAt,
} from "@umbermast/table";
import type { Table } from "@umbermast/table";
import * as Effect from "effect/Effect";
import { EXIT_CODE } from "../process/exit_codes.ts";
import { escapeText } from "../process/text.ts";
import { changeLines } from "./change_text.ts";
import { storeOf } from "./context.ts";
import type { Context } from "./context.ts";
import { confirm, dryRun, runEdit } from "./edit.ts";
import type { EditFlags } from "./edit.ts";
import { inputFailure, orInputFailure, storeFailure } from "./failures.ts";
import { parseImport } from "./import_file.ts";
import type { ImportFile } from "./import_file.ts";
import { offerVersion } from "./offer.ts";
import { failure } from "./report.ts";
import type { CommandFailure, Report } from "./report.ts";

const EMPTY: Table = { classes: [], workspaces: [], rows: [], services: [] };

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
    if (read === undefined) {
      return yield* importFirst(context, { store, file }, flags);
    }
    const baseId = options.base ?? file.editId;
    // Changes are worked out against what the file was made from, so that
    // edits accepted since then stand, or conflict, instead of being undone.
    const base = baseId === undefined || baseId === read.stored.editId
      ? read.stored.table
      : yield* Effect.mapError(
        tableAt(store, { current: read, editId: baseId }),
        (error) => storeFailure(error),
      );
    const wanted = yield* orInputFailure(file.apply(base), options.file);
    const changes = diffTables(base, wanted);
    const note = `import ${options.file}`;
    return yield* runEdit(context, { store, read, changes, note }, flags);
  });
}

function importFirst(
  context: Context,
  first: { readonly store: Store; readonly file: ImportFile },
  flags: EditFlags,
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const { store, file } = first;
    const table = yield* orInputFailure(file.apply(EMPTY), "the first table");
    const changes = diffTables(EMPTY, table);
    const lines = changeLines(changes);
    if (flags.dryRun === true) return dryRun(changes, lines);
    yield* confirm(context, lines, flags);
    const note = {
      editId: newEditId(0),
      editor: context.settings.editor,
      at: Date.now(),
    };
    const accepted = yield* Effect.mapError(
      createTable(store, { table, metadata: note }),
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
