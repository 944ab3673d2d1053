/**
 * Commands that read the table: get, export, history.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import type { Store } from "@umbermast/coordination";
import {
  readHistory,
  readTable,
  rowsToCsv,
  SECTIONS,
  tableAt,
} from "@umbermast/table";
import type {
  HistoryEntry,
  Row,
  Table,
  VersionedTable,
} from "@umbermast/table";
import * as Effect from "effect/Effect";
import { EXIT_CODE } from "../process/exit_codes.ts";
import { alignedTable, escapeText } from "../process/text.ts";
import type { Cell } from "../process/text.ts";
import { changeLines } from "./change_text.ts";
import { storeOf } from "./context.ts";
import type { Context } from "./context.ts";
import { storeFailure } from "./failures.ts";
import { failure } from "./report.ts";
import type { CommandFailure, Report } from "./report.ts";

const ROW_HEADER = [
  "workspace",
  "class",
  "weight",
  "requests/s",
  "tokens/s",
  "in flight",
];

/** Reads the stored table, which must exist. */
export function currentTable(
  store: Store,
): Effect.Effect<VersionedTable, CommandFailure> {
  return Effect.gen(function* () {
    const read = yield* Effect.mapError(
      readTable(store),
      (error) => storeFailure(error),
    );
    if (read !== undefined) return read;
    return yield* Effect.fail(storeFailure({ _tag: "TableMissing" }));
  });
}

/** `table get`: the rows, or one whole section. */
export function tableGet(
  context: Context,
  options: {
    readonly section?: string;
    readonly workspace?: string;
    readonly class?: string;
  },
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const store = yield* storeOf(context);
    const { version, stored } = yield* currentTable(store);
    const { editId, editor, at, table } = stored;
    const shown = options.section === undefined
      ? rowsText(table, options)
      : yield* sectionText(table, options.section);
    const head = `Version ${version}, edit ${escapeText(editId)} by ${
      escapeText(editor)
    } at ${timeOf(at)}`;
    return {
      text: `${head}\n\n${shown}`,
      json: { version, editId, editor, at, table: filtered(table, options) },
    };
  });
}

/** `table export`: CSV of the rows, or JSON of the whole table. */
export function tableExport(
  context: Context,
  options: {
    readonly file?: string;
    readonly format?: string;
    readonly at?: string;
  },
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const store = yield* storeOf(context);
    const read = yield* currentTable(store);
    const editId = options.at ?? read.stored.editId;
    const table = options.at === undefined
      ? read.stored.table
      : yield* Effect.mapError(
        tableAt(store, { current: read, editId: options.at }),
        (error) => storeFailure(error),
      );
    const json = formatOf(options) === "json";
    const content = json
      ? `${JSON.stringify({ editId, table }, undefined, 2)}\n`
      : rowsToCsv(table.rows);
    if (options.file === undefined) {
      return { text: content.trimEnd(), json: { editId, table } };
    }
    yield* writeExport(options.file, content);
    const base = json ? "" : ` --base ${editId}`;
    return {
      text:
        `Wrote ${options.file}; import it with: umbermastctl table import ${options.file}${base}`,
      json: { editId, file: options.file, rows: table.rows.length },
    };
  });
}

/** `table history`: who, when and what, newest first. */
export function tableHistory(
  context: Context,
  options: { readonly limit: number },
): Effect.Effect<Report, CommandFailure> {
  return Effect.gen(function* () {
    const store = yield* storeOf(context);
    const { stored } = yield* currentTable(store);
    const after = Math.max(0, stored.sequence - options.limit);
    const entries = yield* Effect.mapError(
      readHistory(store, stored, { after }),
      (error) => storeFailure(error),
    );
    return { text: entries.map(entryText).join("\n"), json: { entries } };
  });
}

function entryText(entry: HistoryEntry): string {
  const note = entry.note === undefined ? "" : `  ${entry.note}`;
  const closes = entry.closes === undefined
    ? ""
    : `  resolves ${entry.closes} as not accepted`;
  const head = escapeText(
    `${entry.sequence}  ${
      timeOf(entry.at)
    }  ${entry.editor}  ${entry.editId}${closes}${note}`,
  );
  const lines = changeLines(entry.changes).map((line) => `    ${line}`);
  return [head, ...lines].join("\n");
}

function rowsText(
  table: Table,
  options: { readonly workspace?: string; readonly class?: string },
): string {
  const rows = filtered(table, options).rows.map((row): readonly Cell[] => [
    row.workspace,
    row.class,
    row.weight,
    row.requestsPerSecond,
    row.tokensPerSecond,
    row.inFlight,
  ]);
  return alignedTable(ROW_HEADER, rows);
}

function filtered(
  table: Table,
  options: { readonly workspace?: string; readonly class?: string },
): Table {
  const wanted = (row: Row) =>
    (options.workspace ?? row.workspace) === row.workspace &&
    (options.class ?? row.class) === row.class;
  return { ...table, rows: table.rows.filter(wanted) };
}

function sectionText(
  table: Table,
  name: string,
): Effect.Effect<string, CommandFailure> {
  const section = SECTIONS.find((known) => known === name);
  if (section === undefined) {
    return Effect.fail(failure(EXIT_CODE.usage, {
      code: "section_unknown",
      message: `Unknown section "${escapeText(name)}"; known are ${
        SECTIONS.join(", ")
      }`,
    }));
  }
  const entries: readonly object[] = table[section];
  const header = [...new Set(entries.flatMap((entry) => Object.keys(entry)))];
  const rows = entries.map((entry) =>
    header.map((field): Cell => cellOf(Reflect.get(entry, field)))
  );
  return Effect.succeed(alignedTable(header, rows));
}

function cellOf(value: unknown): Cell {
  if (Array.isArray(value)) return value.join(" ");
  if (typeof value !== "object" || value === null) return value as Cell;
  return Object.entries(value).map((pair) => pair.join("=")).join(" ");
}

function formatOf(
  options: { readonly file?: string; readonly format?: string },
): string {
  if (options.format !== undefined) return options.format;
  return options.file?.endsWith(".json") ? "json" : "csv";
}

function writeExport(
  file: string,
  content: string,
): Effect.Effect<void, CommandFailure> {
  return Effect.try({
    try: () => writeFileSync(file, content),
    catch: (error) =>
      failure(EXIT_CODE.failure, {
        code: "file_not_written",
        message: `Cannot write "${file}": ${
          error instanceof Error ? error.message : String(error)
        }`,
      }),
  });
}

function timeOf(at: number): string {
  const time = new Date(at);
  return Number.isNaN(time.getTime()) ? "unknown" : time.toISOString();
}
