/**
 * `bench slopes`: what one daemon spends and holds in each of its roles,
 * against what drives it, from real modules in real processes on loopback.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import os from "node:os";
import process from "node:process";
import type { Experiment, Findings } from "./experiment.ts";
import { round } from "./report.ts";
import type { Measured, Rig } from "./slopes_rig.ts";
import {
  type Fit,
  type Role,
  ROLES,
  slopeOf,
  type SlopesResult,
} from "./slopes_result.ts";
import { CLAIMS_RIG } from "./slopes_rig_claims.ts";
import { ENTRY_RIG } from "./slopes_rig_entry.ts";
import { MEMBER_RIG } from "./slopes_rig_member.ts";
import { PUBLISHED_RIG } from "./slopes_rig_published.ts";
import { SCHEDULER_RIG } from "./slopes_rig_scheduler.ts";
import { SHARES_RIG } from "./slopes_rig_shares.ts";

const RIGS: readonly Rig[] = [
  ENTRY_RIG,
  SCHEDULER_RIG,
  CLAIMS_RIG,
  PUBLISHED_RIG,
  SHARES_RIG,
  MEMBER_RIG,
];
const GIB = 2 ** 30;
const DATE_LENGTH = 10;
const SIGNIFICANT = 6;

/** Digits beyond these are noise and would hide what changed between runs. */
function trimmed(_key: string, value: unknown): unknown {
  if (typeof value !== "number" || Number.isInteger(value)) return value;
  return Number(value.toPrecision(SIGNIFICANT));
}

/** Earlier results whose roles are kept where they are not measured again. */
function keptFrom(path: string): SlopesResult | undefined {
  if (path === "") return undefined;
  return JSON.parse(readFileSync(path, "utf8")) as SlopesResult;
}

function resultOf(
  all: readonly Measured[],
  kept: SlopesResult | undefined,
): SlopesResult {
  const fits: Partial<Record<Role, Fit>> = { ...kept?.fits };
  for (const { role, fit } of all) fits[role] = fit;
  const base = all.find(({ rssBytes }) => rssBytes !== undefined)?.rssBytes ??
    kept?.baseRssBytes;
  const inOrder = ROLES.flatMap((role) => {
    const fit = fits[role];
    return fit === undefined ? [] : [[role, fit] as const];
  });
  return JSON.parse(JSON.stringify({
    machine: {
      cores: os.availableParallelism(),
      memoryGiB: Math.round(os.totalmem() / GIB),
      node: process.version,
    },
    ...(base === undefined ? {} : { baseRssBytes: base }),
    slopes: Object.fromEntries(
      inOrder.map(([role, fit]) => [role, slopeOf(fit)]),
    ),
    fits: Object.fromEntries(inOrder),
  }, trimmed));
}

function findingsOf(result: SlopesResult): Findings {
  const rows = Object.entries(result.slopes).map(([role, slope]) => [
    role,
    slope.per,
    round(slope.cpuMicros),
    round(slope.bytes),
    round(slope.messages),
    round(slope.stateBytes, 0),
    round(slope.r2),
  ]);
  return {
    result,
    grids: [{
      columns: ["ROLE", "PER", "CPU US", "BYTES", "MESSAGES", "STATE", "R2"],
      rows,
    }],
  };
}

/** Measures the slopes of all roles, or of some. */
export const experiment: Experiment = {
  name: "slopes",
  summary: "Measure what each role of a daemon holds, sends and spends",
  options: [
    { name: "seconds", summary: "how long each load is watched", fallback: 10 },
    {
      name: "only",
      summary: "names of rigs with commas between, all when empty",
      fallback: "",
    },
    {
      name: "keep",
      summary: "file of earlier results to which these are added",
      fallback: "",
    },
  ],
  async run(settings) {
    const only = settings.text("only").split(",").filter((name) => name !== "");
    const chosen = RIGS.filter(({ name }) =>
      only.length === 0 || only.includes(name)
    );
    const extra = only.length === 0 ? "" : ` --only ${only.join(",")}`;
    const options = {
      seconds: settings.number("seconds"),
      command: `npm run bench -- slopes --json${extra}`,
      date: new Date().toISOString().slice(0, DATE_LENGTH),
    };
    const all: Measured[] = [];
    for (const rig of chosen) {
      process.stderr.write(`Measuring ${rig.name}\n`);
      all.push(...await rig.run(options));
    }
    return findingsOf(resultOf(all, keptFrom(settings.text("keep"))));
  },
};
