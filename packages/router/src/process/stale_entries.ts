/**
 * Holds back runner entries that seem to belong to an earlier incarnation.
 *
 * @module
 */
import type { Runner } from "./runner.ts";

/**
 * Milliseconds for which an entry of an earlier incarnation is ignored. A
 * delayed write is replaced by the running incarnation's next one within about
 * a second. An entry that stands for longer comes from a runner whose clock was
 * set back before its restart; without a bound, it would never be used.
 */
const HOLD_MS = 4_000;

/** Whether an entry is of an incarnation that started before the known one. */
export function isStale(entry: Runner, known: Runner): boolean {
  if (entry.startedAtMs === undefined || known.startedAtMs === undefined) {
    return false;
  }
  return entry.startedAtMs < known.startedAtMs;
}

/**
 * Holds back stale entries, and accepts those that are not replaced in time.
 */
export class StaleEntries {
  readonly #accept: (runner: Runner) => void;
  readonly #timersByName = new Map<string, NodeJS.Timeout>();

  /** @param accept called with an entry that was not replaced in time. */
  constructor(accept: (runner: Runner) => void) {
    this.#accept = accept;
  }

  /** Holds an entry back until another one of the same name arrives. */
  hold(entry: Runner): void {
    this.forget(entry.name);
    const timer = setTimeout(() => {
      this.#timersByName.delete(entry.name);
      this.#accept(entry);
    }, HOLD_MS);
    this.#timersByName.set(entry.name, timer.unref());
  }

  /** Discards the held entry of a name that was replaced or removed. */
  forget(name: string): void {
    clearTimeout(this.#timersByName.get(name));
    this.#timersByName.delete(name);
  }

  /** Discards all held entries. */
  clear(): void {
    for (const name of [...this.#timersByName.keys()]) this.forget(name);
  }
}
