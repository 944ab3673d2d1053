/**
 * The capacity page's comparison with the budget.
 *
 * @module
 */
import type { Total } from "./capacity_arithmetic.ts";
import { BUDGET } from "./capacity_plan.ts";
import { KILO, MEGA, short, table } from "./capacity_text.ts";
import type { SlopesResult } from "./slopes_result.ts";

const PERCENT = 100;

/** A sum that lacks a load can show that the budget is passed, not that it is kept. */
function verdict(value: number, limit: number, complete: boolean): string {
  const share = PERCENT * value / limit;
  if (value > limit) return `**over**, ${short(value / limit)} times`;
  if (complete) return `within, ${share.toFixed(0)}%`;
  return `${share.toFixed(0)}% so far`;
}

/** A quantity that has a budget. */
interface Budgeted {
  readonly name: string;
  readonly quantity: "cpuMicros" | "bytes" | "stateBytes";
  readonly limit: number;
  readonly unit: number;
  /** Added to each sum. */
  readonly base?: number;
}

function budgetRow(
  budgeted: Budgeted,
  sum: Total,
): readonly string[] {
  const { name, quantity, limit, unit, base = 0 } = budgeted;
  const complete = sum.missing.length === 0;
  const costsOf = [
    sum.today.mean,
    sum.today.most,
    sum.later.mean,
    sum.later.most,
  ];
  const cells = costsOf.map((cost) => {
    const value = base + cost[quantity];
    return `${short(value / unit)}: ${verdict(value, limit, complete)}`;
  });
  return [name, short(limit / unit), ...cells];
}

/** Sums of all control loads against the budget. */
export function budgetTable(sum: Total): string {
  const rows: Budgeted[] = [
    {
      name: "processor, ms/s",
      quantity: "cpuMicros",
      limit: BUDGET.cpuMicrosPerSecond,
      unit: KILO,
    },
    {
      name: "traffic both ways, KB/s",
      quantity: "bytes",
      limit: BUDGET.bytesPerSecond,
      unit: KILO,
    },
    {
      name: "state in heap and buffers, MB",
      quantity: "stateBytes",
      limit: BUDGET.memoryBytes,
      unit: MEGA,
    },
  ];
  return table(
    [
      "control of one daemon in all its roles",
      "budget",
      "average, as the code is",
      "busiest, as the code is",
      "average, after the changes",
      "busiest, after the changes",
    ],
    rows.map((row) => budgetRow(row, sum)),
  );
}

/** How the budget of memory can be read. */
export function memoryNote(result: SlopesResult): string {
  if (result.baseRssBytes === undefined) return "";
  const rss = short(result.baseRssBytes / MEGA);
  return `Resident memory is more than state: a process that runs the ` +
    `coordination library alone, with the largest view that was measured, ` +
    `has ${rss} MB resident, most of it Node's own. Read as resident memory ` +
    `the budget of 64 MB ${
      result.baseRssBytes > BUDGET.memoryBytes ? "is passed" : "is nearly used"
    } before any load; read as what control adds to a process that serves ` +
    `callers anyway, the table above counts.`;
}

/** What the sums lack. */
export function missingNote(sum: Total): string {
  if (sum.missing.length === 0) return "Every control load was measured.";
  const names = sum.missing.map((load) => load.title).join("; ");
  return `Not measured yet, and so missing from these sums: ${names}.`;
}
