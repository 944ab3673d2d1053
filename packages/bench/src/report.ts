/**
 * Printing and summing up of results.
 *
 * @module
 */
import type { Grid } from "./experiment.ts";

const NUMERIC = /^[-+]?[\d.,]+(?:[eE][-+]?\d+)?%?$/;
const GAP = "  ";

function pad(cell: string, width: number): string {
  return NUMERIC.test(cell) ? cell.padStart(width) : cell.padEnd(width);
}

/** Lays out a grid in columns; numbers to the right, everything else left. */
export function alignedGrid(grid: Grid): string {
  const lines = [grid.columns, ...grid.rows];
  const widths = grid.columns.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length))
  );
  return lines
    .map((line) =>
      widths
        .map((width, column) => pad(line[column] ?? "", width))
        .join(GAP)
        .trimEnd()
    )
    .join("\n");
}

/**
 * The value below which `share` (0 to 1) of the values lie, by nearest rank;
 * `undefined` without values.
 */
export function quantile(
  values: readonly number[],
  share: number,
): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, rank)];
}

/** The middle value, or the mean of the two middle ones. */
export function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  const upper = sorted[Math.floor(sorted.length / 2)];
  const lower = sorted[Math.ceil(sorted.length / 2) - 1];
  if (upper === undefined || lower === undefined) return undefined;
  return (lower + upper) / 2;
}

/** A number with at most three significant decimals, for people. */
export function round(value: number | undefined, decimals = 3): string {
  if (value === undefined || Number.isNaN(value)) return "-";
  return String(Number(value.toFixed(decimals)));
}
