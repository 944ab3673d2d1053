/**
 * The experiment `surge`: every policy under the very same arrivals, and each
 * mechanism of the scheduler switched off in turn.
 *
 * @module
 */
import { DEPLOYMENT_NAMES, type DeploymentName } from "@umbermast/testing";
import type { Experiment, Grid, Settings } from "./experiment.ts";
import type { PhaseFigures } from "./surge_judge.ts";
import { surgePhases } from "./surge_plan.ts";
import { runVariant, type Variant } from "./surge_run.ts";
import {
  medianOf,
  mergeSummaries,
  type PolicyFigures,
  summarise,
} from "./surge_summary.ts";

const POLICIES: readonly Variant[] = [
  { name: "random", scheduler: "random" },
  { name: "fifo", scheduler: "fifo" },
  { name: "umbermast", scheduler: "umbermast" },
];

/** Mechanisms of the scheduler, by the name of their switch. */
const SWITCHES = [
  "tiers",
  "minimumShare",
  "fairQueueing",
  "costEstimate",
  "lateLast",
  "earlyRefusal",
  "adaptiveSlots",
  "headroom",
  "affinity",
  "ejection",
];

interface Result {
  readonly variant: string;
  readonly summary: PolicyFigures;
  readonly phases: readonly PhaseFigures[];
}

interface DeploymentResults {
  readonly deployment: DeploymentName;
  readonly results: readonly Result[];
}

function listOf(text: string): readonly string[] {
  return text.split(",").map((it) => it.trim()).filter((it) => it !== "");
}

function variantsOf(settings: Settings): readonly Variant[] {
  const policies = listOf(settings.text("policies"));
  const switches = settings.text("switches") === "all"
    ? SWITCHES
    : listOf(settings.text("switches"));
  return [
    ...POLICIES.filter((it) => policies.includes(it.name)),
    ...switches.map((off): Variant => ({
      name: `without ${off}`,
      scheduler: "umbermast",
      off,
    })),
  ];
}

async function measure(
  deployment: DeploymentName,
  settings: Settings,
): Promise<readonly Result[]> {
  const wanted = listOf(settings.text("phases"));
  const phases = surgePhases(deployment).filter((it) =>
    wanted.length === 0 || wanted.includes(it.name)
  );
  const variants = variantsOf(settings);
  const runs = new Map<string, (readonly PhaseFigures[])[]>();
  // Seeds are the outer loop: what else the machine does meanwhile then meets
  // every policy alike.
  for (let seed = 1; seed <= settings.number("seeds"); seed++) {
    for (const variant of variants) {
      const figures = await runVariant(variant, {
        deployment,
        phases,
        seed,
        seconds: settings.number("seconds"),
      });
      runs.set(variant.name, [...runs.get(variant.name) ?? [], figures]);
      console.error(`surge ${deployment} seed ${seed} ${variant.name} done`);
    }
  }
  return variants.map(({ name }) => {
    const phasesOfSeeds = medianOf(runs.get(name) ?? []);
    return {
      variant: name,
      summary: summarise(phasesOfSeeds),
      phases: phasesOfSeeds,
    };
  });
}

function isPolicy(name: string): boolean {
  return POLICIES.some((policy) => policy.name === name);
}

/** Figures over both deployments, by variant. */
function merged(
  all: readonly DeploymentResults[],
  wanted: (name: string) => boolean,
): Readonly<Record<string, PolicyFigures>> {
  const names = all[0]?.results.map((it) => it.variant).filter(wanted) ?? [];
  return Object.fromEntries(names.map((name) => {
    const same = all.flatMap(({ results }) =>
      results.filter((it) => it.variant === name).map((it) => it.summary)
    );
    return [name, mergeSummaries(same)];
  }));
}

/** Figures of each phase, by variant. */
function phasesOf(
  { results }: DeploymentResults,
): Readonly<Record<string, readonly PhaseFigures[]>> {
  return Object.fromEntries(results.map((it) => [it.variant, it.phases]));
}

function gridOf(results: readonly Result[]): Grid {
  const rows = results.flatMap(({ variant, phases }) =>
    phases.flatMap((phase) =>
      phase.classes.map((it) => [
        variant,
        phase.phase,
        it.class,
        `${it.sent}`,
        it.attainment.toFixed(3),
        `${it.shed}`,
        it.p50FirstTokenMs.toFixed(0),
        it.p99FirstTokenMs.toFixed(0),
        it.serviceShare.toFixed(2),
        phase.goodput.toFixed(0),
        phase.goodputOfCapacity.toFixed(3),
        phase.busy.toFixed(3),
        phase.wastedWork.toFixed(4),
      ])
    )
  );
  return {
    columns: [
      "POLICY",
      "PHASE",
      "CLASS",
      "SENT",
      "ATTAINMENT",
      "SHED",
      "P50 MS",
      "P99 MS",
      "SHARE",
      "GOODPUT",
      "OF CAPACITY",
      "BUSY",
      "WASTED",
    ],
    rows,
  };
}

/** Compares the policies under bursts and faults. */
export const experiment: Experiment = {
  name: "surge",
  summary: "Compare policies under bursts, a straggler and a crash",
  options: [
    { name: "seeds", summary: "seeds; figures are medians", fallback: 5 },
    { name: "seconds", summary: "length of each phase", fallback: 10 },
    {
      name: "deployment",
      summary: "cooperative, metro or both",
      fallback: "both",
    },
    {
      name: "policies",
      summary: "policies to run",
      fallback: "random,fifo,umbermast",
    },
    {
      name: "switches",
      summary: "mechanisms to switch off in turn, or all",
      fallback: "all",
    },
    { name: "phases", summary: "phases to run; all by default", fallback: "" },
  ],
  async run(settings) {
    const wanted = settings.text("deployment");
    const names = DEPLOYMENT_NAMES.filter((it) =>
      wanted === "both" || wanted === it
    );
    const results: DeploymentResults[] = [];
    for (const deployment of names) {
      const found = await measure(deployment, settings);
      results.push({ deployment, results: found });
    }
    const seeds = settings.number("seeds");
    const seconds = settings.number("seconds");
    return {
      result: {
        seeds,
        seconds,
        policies: merged(results, isPolicy),
        switches: merged(results, (name) => !isPolicy(name)),
        deployments: Object.fromEntries(
          results.map((it) => [it.deployment, phasesOf(it)]),
        ),
      },
      grids: results.map((it) => gridOf(it.results)),
    };
  },
};
