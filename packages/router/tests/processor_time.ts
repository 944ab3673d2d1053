/**
 * Measures the processor time that the machine withholds from this process, and
 * repeats measurements that this has spoiled.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import type { TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import type { CleanupContext } from "./fixtures.ts";

const NS_PER_MS = 1_000_000;
const US_PER_MS = 1_000;
/**
 * Share of the time for which the main thread waited for a processor, above which
 * the machine counts as short of processor time. On two cores without other work it
 * was up to 0.086, because of the compiler and the garbage collector of the process
 * itself; beside three busy loops it was 0.55.
 */
const MAX_WAITED_SHARE = 0.1;
/** Attempts of one measurement. */
const MAX_ATTEMPTS = 3;
/**
 * Time in ms for which the measurements of one file wait in all for a machine that
 * is less busy, so that the file ends before its time-out.
 */
const MAX_PAUSED_MS = 60_000;
/** Interval at which this is checked, and length of the check, in ms. */
const CHECK_INTERVAL_MS = 400;
const CHECK_MS = 100;
/** Checks in a row that must find a processor. */
const CHECKS = 4;

/** What Linux accounts for the main thread; also in a container with a quota. */
function schedulerMs(): {
  readonly ranMs: number;
  readonly queuedMs: number;
} | undefined {
  try {
    const path = `/proc/self/task/${process.pid}/schedstat`;
    const [ran = 0, queued = 0] = readFileSync(path, "utf8").split(" ").map(
      Number,
    );
    return { ranMs: ran / NS_PER_MS, queuedMs: queued / NS_PER_MS };
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
   * Time for which the main thread had work, but no processor: at least the time in
   * the run queue, and at least the time for which the event loop was active while
   * the thread did not run. Only the latter includes what the host of a virtual
   * machine gave to others. Work of the main thread is in neither, so that a slow
   * router is not excused. 0 where the operating system does not state it.
   */
  readonly waitedMs: number;
}

/** Starts to measure; the result returns what has passed since. */
export function measureProcessorTime(): () => ProcessorTime {
  const startedAt = performance.now();
  const before = schedulerMs();
  const usedBefore = process.cpuUsage();
  const loopBefore = performance.eventLoopUtilization();
  return () => {
    const elapsedMs = performance.now() - startedAt;
    const after = schedulerMs();
    if (before === undefined || after === undefined) {
      const { user, system } = process.cpuUsage(usedBefore);
      return { elapsedMs, ranMs: (user + system) / US_PER_MS, waitedMs: 0 };
    }
    const { active } = performance.eventLoopUtilization(loopBefore);
    const ranMs = after.ranMs - before.ranMs;
    const queuedMs = after.queuedMs - before.queuedMs;
    return { elapsedMs, ranMs, waitedMs: Math.max(queuedMs, active - ranMs) };
  };
}

/** Share of the time for which the main thread waited for a processor. */
function waitedShare({ elapsedMs, waitedMs }: ProcessorTime): number {
  return waitedMs / elapsedMs;
}

/** The processor time in a few words, for the output of tests. */
export function describeProcessorTime(time: ProcessorTime): string {
  const ran = (time.ranMs / time.elapsedMs).toFixed(2);
  return `main thread ran for ${ran} and waited for a processor for ` +
    `${waitedShare(time).toFixed(3)} of the time`;
}

/** Time in ms that the measurements of this file have waited. */
let pausedMs = 0;

/** Waits until the machine is less busy, for a bounded time. */
async function processorFree(): Promise<void> {
  const startedAt = performance.now();
  const before = pausedMs;
  let free = 0;
  while (free < CHECKS && pausedMs < MAX_PAUSED_MS) {
    await pause(CHECK_INTERVAL_MS);
    const time = measureProcessorTime();
    const endAt = performance.now() + CHECK_MS;
    while (performance.now() < endAt);
    free = waitedShare(time()) <= MAX_WAITED_SHARE ? free + 1 : 0;
    pausedMs = before + performance.now() - startedAt;
  }
}

/** Ends what one attempt has started, the last one first. */
class Attempt implements CleanupContext {
  readonly #cleanups: (() => void | Promise<void>)[] = [];

  after(cleanup: () => void | Promise<void>): void {
    this.#cleanups.push(cleanup);
  }

  async end(): Promise<void> {
    for (const cleanup of this.#cleanups.reverse()) await cleanup();
  }
}

/**
 * Takes a measurement and checks it. A check that fails decides, unless the main
 * thread waited for a processor in that time: then the measurement is taken again
 * with what it starts anew, up to three times in all. The last one decides.
 */
export async function checkMeasurement<
  T extends { readonly processor: ProcessorTime },
>(t: TestContext, measurement: {
  readonly take: (context: CleanupContext) => Promise<T>;
  readonly check: (taken: T) => void;
}): Promise<void> {
  for (let count = 1;; count += 1) {
    const attempt = new Attempt();
    try {
      const taken = await measurement.take(attempt);
      try {
        return measurement.check(taken);
      } catch (error) {
        const { processor } = taken;
        const short = waitedShare(processor) > MAX_WAITED_SHARE;
        if (!short || count === MAX_ATTEMPTS) throw error;
        t.diagnostic(
          `taken again: ${describeProcessorTime(processor)}; ${error}`,
        );
      }
    } finally {
      await attempt.end();
    }
    await processorFree();
  }
}
