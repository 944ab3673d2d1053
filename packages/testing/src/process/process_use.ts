/**
 * Reads what a process uses, as the operating system counts it.
 *
 * @module
 */
import { readdirSync, readFileSync } from "node:fs";

const KILOBYTES_PER_MB = 1024;

/** Returns the highest resident memory that a process has had, in MB. */
export function peakMemoryMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]) / KILOBYTES_PER_MB;
}

/** Returns the number of descriptors that a process has open. */
export function openDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
