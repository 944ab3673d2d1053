/**
 * Writes docs/CAPACITY.md from the plan and the measured slopes.
 *
 * @module
 */
import {
  type Cost,
  costs,
  type Line,
  type Total,
  total,
} from "./capacity_arithmetic.ts";
import { failures } from "./capacity_failures.ts";
import { BUDGET, derive, PLAN } from "./capacity_plan.ts";
import { type Carrier, CARRIERS } from "./capacity_roles.ts";
import { remedies } from "./capacity_remedies.ts";
import { storeLines } from "./capacity_store.ts";
import type { Fit, Role, SlopesResult } from "./slopes_result.ts";

const NOT_MEASURED = "not measured yet";
const KILO = 1_000;
const MEGA = 1_000_000;
const MICROS_PER_CORE = 1_000_000;
const PERCENT = 100;

/** A number with three significant digits. */
export function short(value: number): string {
  if (value === 0) return "0";
  const magnitude = Math.abs(value);
  if (magnitude >= KILO) return Math.round(value).toLocaleString("en-GB");
  return String(Number(value.toPrecision(3)));
}

function table(
  columns: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]) => `| ${cells.join(" | ")} |`;
  const rule = line(columns.map(() => "---"));
  return [line(columns), rule, ...rows.map(line)].join("\n");
}

function planTable(): string {
  const size = derive();
  return table(["planned", "", "so that on average", ""], [
    [
      "daemons",
      short(PLAN.daemons),
      "requests/s a daemon",
      short(size.requestsPerDaemon),
    ],
    [
      "runners",
      short(PLAN.runners),
      "token events/s a daemon",
      short(size.tokensPerDaemon),
    ],
    [
      "accelerators",
      short(PLAN.accelerators),
      "tokens an answer",
      short(size.tokensPerAnswer),
    ],
    [
      "requests/s at the peak",
      short(PLAN.requestsPerSecond),
      "seconds an answer, at 64 ms a token",
      short(size.answerSeconds),
    ],
    [
      "tokens/s at the peak",
      short(PLAN.tokensPerSecond),
      "open streams",
      short(size.openStreams),
    ],
    [
      "service tiers",
      short(PLAN.tiers),
      "open streams a daemon",
      short(size.streamsPerDaemon),
    ],
    [
      "workspaces",
      short(PLAN.workspaces),
      "open streams a runner",
      short(size.streamsPerRunner),
    ],
    ["models", short(PLAN.models), "shards of 16 runners", short(size.shards)],
    [
      "regions",
      short(PLAN.regions),
      "asks/s a shard",
      short(size.asksPerShard),
    ],
    [
      "failure domains",
      short(PLAN.failureDomains),
      "daemons and runners a failure domain",
      `${short(size.daemonsPerDomain)} and ${short(size.runnersPerDomain)}`,
    ],
    [
      "edits of the table a day",
      short(PLAN.editsPerDay),
      "rows of the table",
      short(size.rows),
    ],
  ]);
}

function slopeRow(role: Role, fit: Fit | undefined): readonly string[] {
  if (fit === undefined) return [role, "", NOT_MEASURED, "", "", "", "", ""];
  const { cpuMicros, bytes, messages, stateBytes, storeCalls } = fit.lines;
  return [
    role,
    fit.per,
    short(cpuMicros.slope),
    short(bytes.slope),
    short(messages.slope),
    short(stateBytes.slope),
    short(storeCalls.slope),
    `${cpuMicros.r2.toFixed(3)} / ${bytes.r2.toFixed(3)} / ${
      stateBytes.r2.toFixed(3)
    }`,
  ];
}

function slopesTable(result: SlopesResult): string {
  const roles = CARRIERS.flatMap((carrier) => carrier.loads)
    .map((load) => load.role);
  return table(
    [
      "slope",
      "per",
      "processor µs",
      "bytes sent and received",
      "messages",
      "bytes held",
      "store calls",
      "r² of processor / bytes / held",
    ],
    roles.map((role) => slopeRow(role, result.fits[role])),
  );
}

function methods(result: SlopesResult): string {
  return CARRIERS.flatMap((carrier) => carrier.loads)
    .flatMap(({ role }) => {
      const fit = result.fits[role];
      if (fit === undefined) return [];
      const xs = fit.samples.map((sample) => short(sample.x)).join(", ");
      return [`- \`${role}\`: ${fit.how} Loads: ${xs}.`];
    })
    .join("\n");
}

function costCells(cost: Cost | undefined): readonly string[] {
  if (cost === undefined) return [NOT_MEASURED, "", "", "", ""];
  return [
    short(cost.cpuMicros / KILO),
    short(cost.bytes / KILO),
    short(cost.messages),
    short(cost.stateBytes / MEGA),
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

function roleSection(carrier: Carrier, lines: readonly Line[]): string {
  const rows = lines.flatMap(({ load, mean, most }) => {
    const first = [
      load.control ? load.title : `${load.title} (data, not control)`,
      short(load.mean),
      ...costCells(mean),
    ];
    if (load.most === load.mean) return [first];
    return [first, [
      `… on the busiest daemon`,
      short(load.most),
      ...costCells(most),
    ]];
  });
  const workings = carrier.loads
    .map((load) => `${load.title}: ${load.working}`)
    .join("; ");
  return [
    `### ${carrier.name}`,
    carrier.mechanism,
    `Carried by ${carrier.modules.map((path) => `\`${path}\``).join(", ")}.`,
    table(["load", "amount", ...COST_COLUMNS], rows),
    `Amounts: ${workings}.`,
  ].join("\n\n");
}

/** A sum that lacks a load can show that the budget is passed, not that it is kept. */
function verdict(value: number, limit: number, complete: boolean): string {
  const share = PERCENT * value / limit;
  if (value > limit) return `**over**, ${(value / limit).toFixed(1)} times`;
  if (complete) return `within (${share.toFixed(0)}% of it)`;
  return `${share.toFixed(0)}% of it so far, not all measured`;
}

function budgetRow(
  name: string,
  options: {
    readonly mean: number;
    readonly most: number;
    readonly limit: number;
    readonly unit: number;
    readonly complete: boolean;
  },
): readonly string[] {
  const { mean, most, limit, unit, complete } = options;
  return [
    name,
    short(limit / unit),
    short(mean / unit),
    verdict(mean, limit, complete),
    short(most / unit),
    verdict(most, limit, complete),
  ];
}

function budgetTable(sum: Total, result: SlopesResult): string {
  const base = result.baseRssBytes;
  const complete = sum.missing.length === 0;
  const rows = [
    budgetRow("processor, ms/s", {
      mean: sum.mean.cpuMicros,
      most: sum.most.cpuMicros,
      limit: BUDGET.cpuMicrosPerSecond,
      unit: KILO,
      complete,
    }),
    budgetRow("traffic, KB/s both ways", {
      mean: sum.mean.bytes,
      most: sum.most.bytes,
      limit: BUDGET.bytesPerSecond,
      unit: KILO,
      complete,
    }),
    budgetRow("state, MB of heap and buffers", {
      mean: sum.mean.stateBytes,
      most: sum.most.stateBytes,
      limit: BUDGET.memoryBytes,
      unit: MEGA,
      complete,
    }),
  ];
  if (base !== undefined) {
    rows.push(budgetRow("resident memory of the process, MB", {
      mean: base + sum.mean.stateBytes,
      most: base + sum.most.stateBytes,
      limit: BUDGET.memoryBytes,
      unit: MEGA,
      complete,
    }));
  }
  return table(
    [
      "control, one daemon in all its roles",
      "budget",
      "average daemon",
      "",
      "busiest daemon",
      "",
    ],
    rows,
  );
}

function missingNote(sum: Total): string {
  if (sum.missing.length === 0) return "Every control load was measured.";
  const names = sum.missing.map((load) => load.title).join("; ");
  return `Not measured yet, and so missing from these sums: ${names}.`;
}

function failureSections(): string {
  return failures().map((failure) => {
    const rows = failure.effects.map(({ role, text }) => [role, text]);
    return `### ${failure.name}\n\n${failure.extent}\n\n` +
      table(["role", "what happens"], rows);
  }).join("\n\n");
}

function provenance(result: SlopesResult): string {
  const { cores, memoryGiB, node } = result.machine;
  return `Measured on ${result.date} by \`${result.command}\` on one machine ` +
    `(${cores} cores, ${memoryGiB} GiB, Node ${node}), over loopback, real ` +
    `modules in real processes. A core of it is not a core of an entry host; ` +
    `compare shares, not milliseconds, after a change of machine.`;
}

/** The whole page, in Markdown before formatting. */
export function capacityPage(result: SlopesResult): string {
  const lines = costs(CARRIERS, result);
  const sum = total(lines);
  const sections = CARRIERS.map((carrier) =>
    roleSection(carrier, lines.filter((line) => line.carrier === carrier.name))
  );
  return [
    "# Capacity at the planned size",
    "<!-- Generated by `npm run capacity` from docs/capacity/slopes.json. Edit packages/bench/src/capacity_*.ts instead. -->",
    "For each role of a daemon: what it holds, sends and spends at the size " +
    "that umbermast is designed for, worked out from slopes measured on one " +
    "machine, set against the budget, with the mechanism that carries it.",
    "## The size",
    planTable(),
    "## The verdict",
    "A daemon may spend on control at most 3.1% of a core " +
    `(${BUDGET.cpuMicrosPerSecond / MICROS_PER_CORE} s a second), 64 MB and ` +
    "29 KB a second. Every daemon plays every role; the busiest is the one " +
    "that is broker of a whole shard and has the most of everything else too.",
    budgetTable(sum, result),
    missingNote(sum),
    remedies(lines, sum),
    "## Slopes",
    provenance(result),
    "Each line is fitted by least squares. A cost that does not grow with the " +
    "load has a slope near 0 and a low r², which is then no fault of the fit.",
    slopesTable(result),
    methods(result),
    "## Roles",
    "Cost is slope times amount. What a process costs while it does nothing " +
    "is counted once, with the members.",
    ...sections,
    "## The platform's store",
    storeLines(result),
    "## What failures do",
    failureSections(),
    "## Redo it",
    "```sh\nnpm run bench -- slopes --json\nnpm run capacity\n```\n\n" +
    "The first prints the JSON that stands in docs/capacity/slopes.json; the " +
    "second writes this page from it, and `npm run capacity -- --check` fails " +
    "when the two disagree. The tests run that check.",
  ].join("\n\n") + "\n";
}
