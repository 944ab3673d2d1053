/**
 * The capacity page's section on one role.
 *
 * @module
 */
import type { Cost, Line, Priced } from "./capacity_arithmetic.ts";
import type { Amounts, Carrier } from "./capacity_load.ts";
import { BUDGET, PLAN } from "./capacity_plan.ts";
import { KILO, MEGA, short, table } from "./capacity_text.ts";

const NOT_MEASURED = "not measured yet";
const PERCENT = 100;

/** A cost with its share of the budget. */
function shared(
  value: number,
  options: { readonly unit: number; readonly limit: number },
): string {
  const { unit, limit } = options;
  return `${short(value / unit)} (${
    short(Math.round(PERCENT * value / limit))
  }%)`;
}

function costCells(cost: Cost | undefined): readonly string[] {
  if (cost === undefined) return [NOT_MEASURED, "", "", "", ""];
  return [
    shared(cost.cpuMicros, { unit: KILO, limit: BUDGET.cpuMicrosPerSecond }),
    shared(cost.bytes, { unit: KILO, limit: BUDGET.bytesPerSecond }),
    short(cost.messages),
    shared(cost.stateBytes, { unit: MEGA, limit: BUDGET.memoryBytes }),
    short(cost.storeCalls),
  ];
}

const COST_COLUMNS = [
  "processor ms/s",
  "KB/s",
  "messages/s",
  "state MB",
  "store calls/s",
];

function amountRows(
  title: string,
  options: { readonly amounts: Amounts; readonly cost: Priced | undefined },
): readonly (readonly string[])[] {
  const { amounts, cost } = options;
  const { bearers, amount, most } = amounts;
  const where = bearers === PLAN.daemons ? "all" : short(bearers);
  const rows = [[title, where, short(amount), ...costCells(cost?.borne)]];
  if (most > amount) {
    rows.push(["… on the busiest", "1", short(most), ...costCells(cost?.most)]);
  }
  return rows;
}

function loadRows(line: Line): readonly (readonly string[])[] {
  const { load, today, later } = line;
  const title = load.control ? load.title : `${load.title} (data, not control)`;
  const rows = amountRows(title, { amounts: load.today, cost: today });
  if (load.later === undefined) return rows;
  const change = `… after: ${load.later.change}`;
  return [...rows, ...amountRows(change, { amounts: load.later, cost: later })];
}

function workings(carrier: Carrier): string {
  return carrier.loads.map(({ title, today, later }) => {
    const after = later === undefined ? "" : `; after: ${later.working}`;
    return `- ${title}: ${today.working}${after}`;
  }).join("\n");
}

function carriedBy(carrier: Carrier): string {
  if (carrier.modules.length === 0) return "No module carries it yet.";
  const paths = carrier.modules.map((path) => `\`${path}\``).join(", ");
  return `Carried by ${paths}.`;
}

/** A role's mechanism, modules, loads and what they cost. */
export function roleSection(carrier: Carrier, lines: readonly Line[]): string {
  return [
    `### ${carrier.name}`,
    carrier.mechanism,
    carriedBy(carrier),
    table(
      ["load", "daemons", "amount", ...COST_COLUMNS],
      lines.flatMap(loadRows),
    ),
    `Where the amounts come from:\n\n${workings(carrier)}`,
  ].join("\n\n");
}
