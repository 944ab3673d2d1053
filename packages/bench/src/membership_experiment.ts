/**
 * `bench membership`: what membership costs and how soon it notices, with real
 * processes of the coordination library alone on the loopback interface.
 *
 * @module
 */
import { freemem } from "node:os";
import process from "node:process";
import { setTimeout as pause } from "node:timers/promises";
import type { Experiment, Settings } from "./experiment.ts";
import { MemberFleet } from "./membership_fleet.ts";
import { measureBusyPhase, measurePhase } from "./membership_phase.ts";
import type { Phase } from "./membership_phase.ts";
import { quantile, round } from "./report.ts";
import { fitLine } from "./line_fit.ts";
import type { Line } from "./line_fit.ts";

/** How long it took until the members knew, in milliseconds. */
interface Delays {
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
}

/** What was measured with one number of processes. */
interface Size {
  readonly processes: number;
  /** From the kill to the removal, over all members that stayed. */
  readonly killedMs: Delays;
  /** From the order to leave to its being known, over all others. */
  readonly leavingMs: Delays;
  readonly calm: Phase;
  readonly busy: Phase;
}

const MOST_PROCESSES = 200;
const PROCESS_BYTES = 75 * 1024 * 1024;
const SETTLE_MS = 10_000;
const KILLS = 3;
const DETECTION_LIMIT_MS = 60_000;
const LEAVING_LIMIT_MS = 30_000;

function delaysOf(values: readonly number[]): Delays {
  return {
    p50: quantile(values, 0.5) ?? Number.NaN,
    p99: quantile(values, 0.99) ?? Number.NaN,
    max: quantile(values, 1) ?? Number.NaN,
  };
}

async function detectKills(fleet: MemberFleet): Promise<Delays> {
  const delays: number[] = [];
  for (const name of fleet.names().slice(-KILLS)) {
    const since = fleet.kill(name);
    const limitMs = DETECTION_LIMIT_MS;
    delays.push(...await fleet.seen(name, "removed", { since, limitMs }));
  }
  return delaysOf(delays);
}

async function detectLeaving(fleet: MemberFleet): Promise<Delays> {
  const delays: number[] = [];
  for (const name of fleet.names().slice(0, KILLS)) {
    const since = fleet.leave(name);
    const limitMs = LEAVING_LIMIT_MS;
    delays.push(...await fleet.seen(name, "leaving", { since, limitMs }));
  }
  return delaysOf(delays);
}

async function measureSize(
  processes: number,
  settings: Settings,
): Promise<Size> {
  const fleet = new MemberFleet();
  try {
    await fleet.start(processes);
    await pause(SETTLE_MS);
    const calm = await measurePhase(fleet, settings.number("calmSeconds"));
    const busy = await measureBusyPhase(fleet, settings.number("busySeconds"));
    await pause(SETTLE_MS);
    const killedMs = await detectKills(fleet);
    const leavingMs = await detectLeaving(fleet);
    return { processes, killedMs, leavingMs, calm, busy };
  } finally {
    await fleet.stop();
  }
}

function sizesOf(settings: Settings): readonly number[] {
  const sizes = settings.text("processes").split(",").map(Number);
  const roomFor = Math.floor(freemem() / 2 / PROCESS_BYTES);
  for (const size of sizes) {
    if (!Number.isInteger(size) || size < 4 || size > MOST_PROCESSES) {
      throw new RangeError(
        `Cannot measure ${size} processes: expected 4 to ${MOST_PROCESSES}`,
      );
    }
    if (size > roomFor) {
      throw new RangeError(
        `Cannot measure ${size} processes: half of the free memory holds ${roomFor}`,
      );
    }
  }
  return sizes;
}

function lineOf(
  sizes: readonly Size[],
  value: (size: Size) => number,
): Line | null {
  if (sizes.length < 2) return null;
  return fitLine(sizes.map((size) => ({ x: size.processes, y: value(size) })));
}

/** Slopes in the number of processes; null with one number only. */
function slopesOf(sizes: readonly Size[]) {
  return {
    killedMs: lineOf(sizes, ({ killedMs }) => killedMs.p50),
    leavingMs: lineOf(sizes, ({ leavingMs }) => leavingMs.p50),
    bytesPerSecond: lineOf(sizes, ({ calm }) => calm.bytesPerSecond),
    cpuMicrosPerSecond: lineOf(sizes, ({ calm }) => calm.cpuMicrosPerSecond),
    rssBytes: lineOf(sizes, ({ calm }) => calm.rssBytes),
    heapBytes: lineOf(sizes, ({ calm }) => calm.heapBytes),
  };
}

const COLUMNS = [
  "PROCESSES",
  "KILLED P50 MS",
  "KILLED MAX MS",
  "LEAVING P50 MS",
  "LEAVING MAX MS",
  "FALSE REMOVALS CALM",
  "BUSY",
  "BYTES/S",
  "CPU US/S",
  "RSS MB",
];
const MB = 1e6;

function rowOf(size: Size): readonly string[] {
  return [
    String(size.processes),
    round(size.killedMs.p50),
    round(size.killedMs.max),
    round(size.leavingMs.p50),
    round(size.leavingMs.max),
    String(size.calm.falseRemovals),
    String(size.busy.falseRemovals),
    round(size.calm.bytesPerSecond),
    round(size.calm.cpuMicrosPerSecond),
    round(size.calm.rssBytes / MB),
  ];
}

/** Measures membership at several numbers of processes. */
export const experiment: Experiment = {
  name: "membership",
  summary: "Detection, mistakes and cost of membership by number of processes",
  options: [
    {
      name: "processes",
      summary: "numbers of processes, with commas",
      fallback: "10,50,100,200",
    },
    { name: "calmSeconds", summary: "length of the calm phase", fallback: 60 },
    { name: "busySeconds", summary: "length of the busy phase", fallback: 30 },
  ],
  async run(settings) {
    const sizes: Size[] = [];
    for (const processes of sizesOf(settings)) {
      process.stderr.write(`measuring ${processes} processes\n`);
      sizes.push(await measureSize(processes, settings));
    }
    return {
      result: { sizes, slopes: slopesOf(sizes) },
      grids: [{ columns: COLUMNS, rows: sizes.map(rowOf) }],
    };
  },
};
