/**
 * Entries of runners that seem to come late: of a life before the known one.
 *
 * @module
 */
import type { Runner } from "./runner.ts";

/**
 * Milliseconds for which an entry of an earlier life is not believed. A write that
 * was done late is replaced by the living runner's next one, within about a
 * second. An entry that stands for longer is that of a runner whose clock was set
 * back before it started again; without an end, it would never be used.
 */
const HOLD_MS = 4_000;

/** Whether an entry is of a life that began before the known one. */
export function isStale(entry: Runner, known: Runner): boolean {
  if (entry.startedAtMs === undefined || known.startedAtMs === undefined) {
    return false;
  }
  return entry.startedAtMs < known.startedAtMs;
}

/** Holds late entries back until they prove to be the runner's own. */
export class StaleEntries {
  readonly #accept: (runner: Runner) => void;
  readonly #timers = new Map<string, NodeJS.Timeout>();

  /** @param accept takes an entry that still stands after a while. */
  constructor(accept: (runner: Runner) => void) {
    this.#accept = accept;
  }

  /** Holds an entry back, until another one of that name comes. */
  hold(entry: Runner): void {
    this.forget(entry.name);
    const timer = setTimeout(() => {
      this.#timers.delete(entry.name);
      this.#accept(entry);
    }, HOLD_MS);
    this.#timers.set(entry.name, timer.unref());
  }

  /** Another entry of that name came, or it is gone. */
  forget(name: string): void {
    clearTimeout(this.#timers.get(name));
    this.#timers.delete(name);
  }

  /** A new list replaces all that was held back. */
  clear(): void {
    for (const name of [...this.#timers.keys()]) this.forget(name);
  }
}
