/**
 * Schedulers at members that know each other, for the rigs of entry and broker.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { RunnersInfo } from "./slopes_part_runners.ts";
import type {
  SchedulerCommand,
  SchedulerCounts,
  SchedulerInfo,
} from "./slopes_part_scheduler.ts";
import { callAll, type RigProcess, type Start } from "./slopes_process.ts";

const SETTLE_MS = 3_000;
const PROBE_MS = 1_000;
const LIGHT_LOAD = { asksPerSecond: 20, holdMs: 1 };
const NO_LOAD = { asksPerSecond: 0, holdMs: 1 };

/** A process whose members schedule. */
export type SchedulerProcess = RigProcess<SchedulerCommand>;

/** Starts runners that answer for their load; gives their ports. */
export async function startRunners(
  start: Start,
  count: number,
): Promise<readonly number[]> {
  const process = await start("runners", { count });
  return (process.info as RunnersInfo).ports;
}

/** Starts one process for each group of names. */
export async function startSchedulers(
  start: Start,
  options: {
    readonly groups: readonly (readonly string[])[];
    readonly ports: readonly number[];
    readonly services: number;
  },
): Promise<readonly SchedulerProcess[]> {
  const { groups, ports, services } = options;
  const processes = await Promise.all(
    groups.map((names) =>
      start<SchedulerCommand>("scheduler", { names, services })
    ),
  );
  const hosts = processes.flatMap((each) => (each.info as SchedulerInfo).hosts);
  await callAll(processes, { type: "hosts", hosts });
  await callAll(processes, { type: "runners", ports });
  await pause(SETTLE_MS);
  return processes;
}

/**
 * The process whose member brokers: it receives the messages of all others
 * while they ask. Each process must hold one member.
 */
export async function findBroker(
  processes: readonly SchedulerProcess[],
): Promise<{
  readonly broker: SchedulerProcess;
  readonly entries: readonly SchedulerProcess[];
}> {
  await callAll(processes, { type: "load", ...LIGHT_LOAD });
  await pause(PROBE_MS);
  const before = await Promise.all(processes.map((each) => each.read()));
  await pause(PROBE_MS);
  const after = await Promise.all(processes.map((each) => each.read()));
  await callAll(processes, { type: "load", ...NO_LOAD });
  const counts = after.map((reading, i) =>
    reading.messages - (before[i]?.messages ?? 0)
  );
  const broker = processes[counts.indexOf(Math.max(...counts))];
  if (broker === undefined) throw new Error("Cannot find the broker");
  return { broker, entries: processes.filter((each) => each !== broker) };
}

/** Fails when asks were refused: then something else was measured. */
export async function checkGrants(
  processes: readonly SchedulerProcess[],
): Promise<void> {
  for (const process of processes) {
    const { refused } = await process.call({
      type: "counts",
    }) as SchedulerCounts;
    if (refused === 0) continue;
    throw new Error(`Cannot measure: ${refused} asks were refused`);
  }
}
