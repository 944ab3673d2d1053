/**
 * Tells when the memory of the process comes near its limits.
 *
 * @module
 */
import process from "node:process";
import { getHeapStatistics } from "node:v8";
import type { EventLog } from "./event_log.ts";

const BYTES_PER_MB = 1024 * 1024;
/** Interval in ms at which the memory is read. */
const CHECK_MS = 1_000;
/** Share of a limit from which on memory counts as high. */
const HIGH_SHARE = 0.8;
/** Minimum time in ms between two lines. */
const LOG_INTERVAL_MS = 10_000;

/** Memory of the process, in bytes. */
export interface MemoryUse {
  /** Undefined if it cannot be read now. */
  readonly residentBytes: number | undefined;
  /** Whether it cannot be read because no descriptor is left. */
  readonly lacksDescriptors: boolean;
  readonly heapBytes: number;
  /** Size of the heap at which the process aborts. */
  readonly heapLimitBytes: number;
}

/** Errors of a process, or of the system, that has no descriptor left. */
const DESCRIPTOR_ERRORS: ReadonlySet<string> = new Set(["EMFILE", "ENFILE"]);

/** Reading the resident memory opens a file, which needs a descriptor. */
function readResidentMemory(
  read: () => number,
): Pick<MemoryUse, "residentBytes" | "lacksDescriptors"> {
  try {
    return { residentBytes: read(), lacksDescriptors: false };
  } catch (error) {
    const { code = "" } = error as NodeJS.ErrnoException;
    const lacksDescriptors = DESCRIPTOR_ERRORS.has(code);
    return { residentBytes: undefined, lacksDescriptors };
  }
}

/**
 * Reads the memory of this process.
 *
 * @param readResident reads the resident memory in bytes.
 */
export function memoryUse(
  readResident: () => number = process.memoryUsage.rss,
): MemoryUse {
  const { used_heap_size, heap_size_limit } = getHeapStatistics();
  return {
    ...readResidentMemory(readResident),
    heapBytes: used_heap_size,
    heapLimitBytes: heap_size_limit,
  };
}

/** What a {@linkcode MemoryWatch} reads and tells. */
export interface MemoryWatchOptions {
  readonly log: EventLog;
  /** Memory of the host in MB; undefined if unknown. */
  readonly memoryMb: number | undefined;
  /** Called while no descriptor is left. */
  readonly onDescriptorsLacking: () => void;
  /** Returns the current use. */
  readonly use: () => MemoryUse;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
}

/**
 * Logs when the process comes near the memory of its host or the bound of its heap, and
 * tells when it has no descriptor left. A
 * process beyond them ends without a last line.
 */
export class MemoryWatch {
  readonly #options: MemoryWatchOptions;
  #loggedAt = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: MemoryWatchOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.check(), CHECK_MS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Reads the memory once. */
  check(): void {
    const { log, memoryMb, use, now, onDescriptorsLacking } = this.#options;
    const { residentBytes, lacksDescriptors, heapBytes, heapLimitBytes } =
      use();
    if (lacksDescriptors) onDescriptorsLacking();
    const high = heapBytes > HIGH_SHARE * heapLimitBytes ||
      (residentBytes ?? 0) >
        HIGH_SHARE * (memoryMb ?? Infinity) * BYTES_PER_MB;
    if (!high || now() - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = now();
    log.event("memory_high", {
      rss_mb: inMegabytes(residentBytes),
      host_mb: memoryMb,
      heap_mb: inMegabytes(heapBytes),
      heap_limit_mb: inMegabytes(heapLimitBytes),
    });
  }
}

function inMegabytes(bytes: number | undefined): number | undefined {
  return bytes === undefined ? undefined : Math.round(bytes / BYTES_PER_MB);
}
