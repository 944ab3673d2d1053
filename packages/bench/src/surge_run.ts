/**
 * One policy under all phases: starts the deployment, sends, judges.
 *
 * @module
 */
import process from "node:process";
import { setTimeout as pause } from "node:timers/promises";
import { type DeploymentName, startStack } from "@umbermast/testing";
import type { Stack } from "@umbermast/testing";
import type { Table } from "@umbermast/table";
import { ledgersOf } from "./judge_ledgers.ts";
import { sendAll } from "./load.ts";
import { judgePhase, type PhaseFigures } from "./surge_judge.ts";
import {
  SURGE_ENGINE,
  SURGE_RUNNERS,
  surgeArrivals,
  type SurgePhase,
} from "./surge_plan.ts";

/** A policy, with the mechanisms that are switched off. */
export interface Variant {
  readonly name: string;
  readonly scheduler: "umbermast" | "fifo" | "random";
  readonly off?: string;
}

/** What to run. */
export interface SurgeOptions {
  readonly deployment: DeploymentName;
  readonly phases: readonly SurgePhase[];
  readonly seed: number;
  readonly seconds: number;
}

const DAEMONS = 7;
const PLAIN_RUNNERS = 3;
const STRAGGLE_FACTOR = 5;
/** Timeouts are cut so that what a phase leaves behind drains in time. */
const LONGEST_TIMEOUT_MS = 8_000;
const PATIENCE_MS = 20_000;
const SETTLE_MS = 1_500;

/** Runs one variant through the phases. */
export async function runVariant(
  variant: Variant,
  options: SurgeOptions,
): Promise<readonly PhaseFigures[]> {
  const stack = await startStack({
    daemons: DAEMONS,
    runners: SURGE_RUNNERS,
    plainRunners: PLAIN_RUNNERS,
    deployment: options.deployment,
    seed: options.seed,
    scheduler: variant.scheduler,
    engineConfig: SURGE_ENGINE,
    table: shortTimeouts,
    ...(variant.off === undefined ? {} : {
      daemonSettings: { scheduling: { switches: { [variant.off]: false } } },
    }),
  });
  // Ended half way, the experiment would leave its daemons running.
  const stop = () => void stack.close().then(() => process.exit(1));
  process.once("SIGTERM", stop);
  try {
    await pause(SETTLE_MS);
    const figures: PhaseFigures[] = [];
    for (const phase of options.phases) {
      figures.push(await runPhase(stack, phase, { ...options, variant }));
    }
    return figures;
  } finally {
    process.off("SIGTERM", stop);
    await stack.close();
  }
}

function shortTimeouts(table: Table): Table {
  const classes = table.classes.map((it) => ({
    ...it,
    timeoutMs: Math.min(it.timeoutMs, LONGEST_TIMEOUT_MS),
  }));
  return { ...table, classes };
}

async function runPhase(
  stack: Stack,
  phase: SurgePhase,
  options: SurgeOptions & { readonly variant: Variant },
): Promise<PhaseFigures> {
  const { seed, seconds, deployment, variant } = options;
  const sent = surgeArrivals(deployment, phase, { seed, seconds });
  const startedAt = performance.timeOrigin + performance.now();
  const fault = orderFault(stack, phase, seconds);
  const sending = sendAll(sent, {
    urls: stack.daemons.map((it) => it.url),
    keys: stack.keys,
    plainPath: "/cards",
  }, {
    patienceMs: PATIENCE_MS,
    idempotencyKeys: false,
    runName: `${variant.name}-${seed}-${phase.name}`,
  });
  // A runner that crashes takes its ledger with it; it is read just before.
  const early = await fault;
  const records = await sending;
  const known = new Set(early.map((it) => it.attemptId));
  const late = (await ledgersOf(stack)).filter((it) =>
    !known.has(it.attemptId)
  );
  const runs = [...early, ...late].filter((it) => it.startedAt >= startedAt);
  return judgePhase({
    phase: phase.name,
    records,
    runs,
    classes: stack.table.classes,
    startedAt,
    seconds,
  });
}

/** Orders the phase's fault; resolves with ledgers that it would destroy. */
async function orderFault(
  stack: Stack,
  phase: SurgePhase,
  seconds: number,
) {
  const victim = stack.runners[0];
  if (victim === undefined || phase.fault === "none") return [];
  if (phase.fault === "straggler") {
    await stack.control(victim.url, {
      fault: "straggle",
      factor: STRAGGLE_FACTOR,
      seconds,
    });
    return [];
  }
  await pause(seconds * 1_000 / 3);
  const ledgers = await ledgersOf({ ...stack, runners: [victim] });
  process.kill(victim.pid, "SIGKILL");
  return ledgers;
}
