/**
 * Measures the processor time that the machine withholds from this process.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";

const NS_PER_MS = 1_000_000;
const US_PER_MS = 1_000;

/** What Linux accounts for the main thread; also in a container with a quota. */
function schedulerMs(): {
  readonly ranMs: number;
  readonly waitedMs: number;
} | undefined {
  try {
    const path = `/proc/self/task/${process.pid}/schedstat`;
    const [ran = 0, waited = 0] = readFileSync(path, "utf8").split(" ").map(
      Number,
    );
    return { ranMs: ran / NS_PER_MS, waitedMs: waited / NS_PER_MS };
  } catch {
    return undefined;
  }
}

/** Processor time in a period, in ms. */
export interface ProcessorTime {
  readonly elapsedMs: number;
  /** Time for which the main thread ran. */
  readonly ranMs: number;
  /**
   * Time for which the main thread could have run, but the machine ran other work.
   * 0 where the operating system does not state it, so that nothing is excused.
   */
  readonly waitedMs: number;
}

/** Starts to measure; the result returns what has passed since. */
export function measureProcessorTime(): () => ProcessorTime {
  const startedAt = performance.now();
  const before = schedulerMs();
  const usedBefore = process.cpuUsage();
  return () => {
    const elapsedMs = performance.now() - startedAt;
    const after = schedulerMs();
    if (before === undefined || after === undefined) {
      const { user, system } = process.cpuUsage(usedBefore);
      return { elapsedMs, ranMs: (user + system) / US_PER_MS, waitedMs: 0 };
    }
    return {
      elapsedMs,
      ranMs: after.ranMs - before.ranMs,
      waitedMs: after.waitedMs - before.waitedMs,
    };
  };
}
