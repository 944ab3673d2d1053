/**
 * Numbers and tables of the capacity page.
 *
 * @module
 */

export const KILO = 1_000;
export const MEGA = 1_000_000;

/** A number with three significant digits. */
export function short(value: number): string {
  if (value === 0) return "0";
  const magnitude = Math.abs(value);
  if (magnitude >= KILO) return Math.round(value).toLocaleString("en-GB");
  return String(Number(value.toPrecision(3)));
}

/** A Markdown table. */
export function table(
  columns: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]) => `| ${cells.join(" | ")} |`;
  const rule = line(columns.map(() => "---"));
  return [line(columns), rule, ...rows.map(line)].join("\n");
}
