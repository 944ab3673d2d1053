/**
 * Reads what another process spends from Linux's /proc.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { setTimeout as pause } from "node:timers/promises";
import type { Sample } from "./slopes_result.ts";

const MICROS_PER_TICK = 10_000;
const PAGE_BYTES = 4_096;
const MILLIS = 1_000;
/** Fields of /proc/PID/stat after the name, from 0. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Counters of another process. */
interface ProcReading {
  readonly atMs: number;
  readonly cpuMicros: number;
  /** Bytes of all reads and writes, sockets' among them. */
  readonly bytes: number;
  readonly rssBytes: number;
}

function readProc(pid: number): ProcReading {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The name stands in brackets and may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  const io = readFileSync(`/proc/${pid}/io`, "utf8");
  const counter = (name: string) =>
    Number(new RegExp(`^${name}: (\\d+)$`, "m").exec(io)?.[1] ?? 0);
  const pages = readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1];
  return {
    atMs: performance.now(),
    cpuMicros: ticks * MICROS_PER_TICK,
    bytes: counter("rchar") + counter("wchar"),
    rssBytes: Number(pages) * PAGE_BYTES,
  };
}

/**
 * Watches another process for a while. Its state is resident memory, since its
 * heap cannot be collected from here; messages are not counted.
 *
 * @param options `loadOf` gives the load's counter, of which the rate is x; or
 * `x` is given.
 */
export async function sampleProc(
  pid: number,
  options: {
    readonly seconds: number;
    readonly loadOf: () => Promise<number>;
  },
): Promise<Sample> {
  const fromLoad = await options.loadOf();
  const from = readProc(pid);
  await pause(options.seconds * MILLIS);
  const to = readProc(pid);
  const toLoad = await options.loadOf();
  const seconds = (to.atMs - from.atMs) / MILLIS;
  return {
    x: Math.round((toLoad - fromLoad) / seconds),
    cpuMicros: (to.cpuMicros - from.cpuMicros) / seconds,
    bytes: (to.bytes - from.bytes) / seconds,
    messages: 0,
    stateBytes: to.rssBytes,
    storeCalls: 0,
  };
}
