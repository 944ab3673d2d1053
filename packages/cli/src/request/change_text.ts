/**
 * Changes and conflicts as lines of text.
 *
 * @module
 */
import type { Change, Entry, EntryConflict } from "@umbermast/table";
import { escapeText } from "../process/text.ts";

/** A line per change: `+` added, `-` removed, `~` changed with its fields. */
export function changeLines(changes: readonly Change[]): readonly string[] {
  return changes.map(({ section, key, before, after }) => {
    const name = escapeText(`${section} ${key}`);
    if (before === undefined) return `+ ${name}  ${fieldsOf(after)}`;
    if (after === undefined) return `- ${name}  ${fieldsOf(before)}`;
    return `~ ${name}  ${differences(before, after)}`;
  });
}

/** Both values of each entry in conflict, and what both started from. */
export function conflictLines(
  conflicts: readonly EntryConflict[],
): readonly string[] {
  return conflicts.flatMap(({ section, key, base, mine, theirs }) => [
    escapeText(`${section} ${key}`),
    `  before   ${fieldsOf(base)}`,
    `  yours    ${fieldsOf(mine)}`,
    `  theirs   ${fieldsOf(theirs)}`,
  ]);
}

function fieldsOf(entry: Entry | undefined): string {
  if (entry === undefined) return "(none)";
  return Object.entries(entry).map(([field, value]) =>
    `${field}=${valueOf(value)}`
  ).join(" ");
}

function differences(before: Entry, after: Entry): string {
  const old: Readonly<Record<string, unknown>> = { ...before };
  const young: Readonly<Record<string, unknown>> = { ...after };
  const fields = new Set([...Object.keys(old), ...Object.keys(young)]);
  return [...fields]
    .filter((field) => valueOf(old[field]) !== valueOf(young[field]))
    .map((field) =>
      `${field}: ${valueOf(old[field])} -> ${valueOf(young[field])}`
    )
    .join(", ");
}

function valueOf(value: unknown): string {
  if (value === undefined) return "none";
  const text = typeof value === "object"
    ? JSON.stringify(value)
    : String(value);
  return escapeText(text);
}
