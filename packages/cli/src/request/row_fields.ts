/**
 * Rows given on the command line.
 *
 * @module
 */
import type { Finding, Row, Table } from "@umbermast/table";
import { COLUMNS } from "@umbermast/table";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

/** Which row, and what to set in it. */
export interface RowSetting {
  readonly workspace: string;
  readonly class: string;
  /** `FIELD=VALUE` each; `none` lifts a limit. */
  readonly fields: readonly string[];
}

const SETTABLE: readonly string[] = COLUMNS.filter((column) =>
  column !== "workspace" && column !== "class"
);
const NUMBER = /^-?\d+(\.\d+)?([eE][+-]?\d+)?$/;
const ROW_SETTING = /^([^/:]+)\/([^/:]+):(.+)$/;

/** Reads `WORKSPACE/CLASS:FIELD=VALUE,FIELD=VALUE`. */
export function parseRowSetting(
  text: string,
): Result<RowSetting, readonly Finding[]> {
  const match = ROW_SETTING.exec(text);
  const [, workspace, className, fields] = match ?? [];
  if (
    workspace === undefined || className === undefined || fields === undefined
  ) {
    return err([{
      place: text,
      message: "Expected WORKSPACE/CLASS:FIELD=VALUE,...",
    }]);
  }
  return ok({ workspace, class: className, fields: fields.split(",") });
}

/** Sets fields of a row, or adds the row when the table has none. */
export function withRowSet(
  table: Table,
  setting: RowSetting,
): Result<Table, readonly Finding[]> {
  const at = table.rows.findIndex((row) => isRow(row, setting));
  const before = table.rows[at];
  const { workspace, class: className } = setting;
  const draft: Record<string, unknown> = {
    ...(before ?? { workspace, class: className }),
  };
  const findings: Finding[] = [];
  for (const field of setting.fields) {
    setField(draft, field).mapErr((message) =>
      findings.push({ place: `${workspace}/${className}`, message })
    );
  }
  if (findings.length > 0) return err(findings);
  const row = draft as unknown as Row;
  const rows = before === undefined
    ? [...table.rows, row]
    : table.rows.with(at, row);
  return ok({ ...table, rows });
}

/** Removes a row given as `WORKSPACE/CLASS`. */
export function withoutRow(
  table: Table,
  key: string,
): Result<Table, readonly Finding[]> {
  const rows = table.rows.filter((row) =>
    `${row.workspace}/${row.class}` !== key
  );
  if (rows.length === table.rows.length) {
    return err([{ place: key, message: "The table has no such row" }]);
  }
  return ok({ ...table, rows });
}

function isRow(row: Row, setting: RowSetting): boolean {
  return row.workspace === setting.workspace && row.class === setting.class;
}

function setField(
  draft: Record<string, unknown>,
  setting: string,
): Result<void, string> {
  const [field = "", value = "", ...rest] = setting.split("=");
  if (rest.length > 0 || value === "") {
    return err(`Expected FIELD=VALUE, got "${setting}"`);
  }
  if (!SETTABLE.includes(field)) {
    return err(`Unknown field "${field}"; known are ${SETTABLE.join(", ")}`);
  }
  if (value === "none") {
    delete draft[field];
    return ok();
  }
  if (!NUMBER.test(value)) {
    return err(`Expected a number or "none" for ${field}, got "${value}"`);
  }
  draft[field] = Number(value);
  return ok();
}
