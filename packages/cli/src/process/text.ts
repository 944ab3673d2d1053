/**
 * Text for a terminal.
 *
 * @module
 */

/**
 * Control characters, and marks that reorder or hide text. A name or log line
 * from outside that holds them could clear the screen, retitle the window or
 * show a value other than the true one.
 */
const UNSAFE =
  // deno-lint-ignore no-control-regex
  /[\u0000-\u001f\u007f-\u009f\u00ad\u061c\u200b-\u200f\u2028-\u202e\u2060-\u2069\ufeff]/g;

const GAP = "  ";

/** Shows unsafe characters as escapes. */
export function escapeText(text: string): string {
  return text.replace(
    UNSAFE,
    (character) =>
      `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`,
  );
}

/** A cell; absent ones are shown as `-`. */
export type Cell = string | number | boolean | undefined;

/**
 * An aligned table. Columns of numbers are set to the right.
 *
 * @example
 * ```ts
 * alignedTable(["name", "weight"], [["office", 1.5]]);
 * ```
 */
export function alignedTable(
  header: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const cells = rows.map((row) => row.map(shown));
  const widths = header.map((title, at) =>
    Math.max(title.length, ...cells.map((row) => row[at]?.length ?? 0))
  );
  const right = header.map((_, at) =>
    rows.length > 0 && rows.every((row) => typeof row[at] !== "string") &&
    rows.some((row) => typeof row[at] === "number")
  );
  const line = (row: readonly string[]) =>
    row.map((cell, at) =>
      right[at] ? cell.padStart(widths[at] ?? 0) : cell.padEnd(widths[at] ?? 0)
    ).join(GAP).trimEnd();
  return [header, ...cells].map(line).join("\n");
}

function shown(cell: Cell): string {
  return cell === undefined ? "-" : escapeText(String(cell));
}
