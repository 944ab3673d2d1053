/**
 * Logs changes of the runners that are ready, with where they were learnt.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import type { RunnerDirectory } from "./runner_directory.ts";
import { TokenBucket } from "./token_bucket.ts";

/** While a fleet of runners starts, the list changes many times a second. */
const LINES = { perSecond: 1, burst: 20 };

/** Applies changes of the list of runners, and logs those of the ready ones. */
export class RunnerListLog {
  readonly #log: EventLog;
  readonly #directory: RunnerDirectory;
  readonly #lines = new TokenBucket(LINES);
  #leftOut = 0;

  constructor(log: EventLog, directory: RunnerDirectory) {
    this.#log = log;
    this.#directory = directory;
  }

  /**
   * Applies a change, and logs it if other runners are ready than before.
   *
   * @param source where the change comes from.
   * @returns the result of `change`.
   */
  apply<T>(source: string, change: () => T): T {
    const directory = this.#directory;
    const before = directory.revision;
    const readyBefore = directory.readyIds;
    const result = change();
    if (directory.revision === before) return result;
    const ready = directory.readyIds;
    const added = countMissing(ready, readyBefore);
    const removed = countMissing(readyBefore, ready);
    if (added + removed === 0) return result;
    if (this.#lines.available(performance.now()) < 1) {
      this.#leftOut += 1;
      return result;
    }
    this.#lines.take(1);
    this.#log.event("runner_list_in_force", {
      revision: directory.revision,
      before,
      source,
      ready: ready.size,
      added,
      removed,
      left_out: this.#leftOut || undefined,
    });
    this.#leftOut = 0;
    return result;
  }
}

/** Returns how many of the ids are not among others. */
function countMissing(
  ids: ReadonlySet<string>,
  others: ReadonlySet<string>,
): number {
  return [...ids].filter((id) => !others.has(id)).length;
}
