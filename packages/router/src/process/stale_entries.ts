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

/** An entry that is held back. */
interface HeldEntry {
  readonly entry: Runner;
  readonly timer: NodeJS.Timeout;
}

/**
 * Holds back stale entries, and accepts those that are not replaced in time.
 */
export class StaleEntries {
  readonly #accept: (runner: Runner) => void;
  readonly #heldByName = new Map<string, HeldEntry>();

  /** @param accept called with an entry that was not replaced in time. */
  constructor(accept: (runner: Runner) => void) {
    this.#accept = accept;
  }

  /**
   * Holds an entry back until one of another incarnation of its name arrives. A
   * later entry of the same incarnation replaces it without a longer hold:
   * otherwise, lists every few seconds would hold it back for ever.
   */
  hold(entry: Runner): void {
    const { id, name } = entry;
    const held = this.#heldByName.get(name);
    if (held?.entry.id === id) {
      this.#heldByName.set(name, { entry, timer: held.timer });
      return;
    }
    this.forget(name);
    const timer = setTimeout(() => this.#release(name), HOLD_MS);
    this.#heldByName.set(name, { entry, timer: timer.unref() });
  }

  /** Discards the held entry of a name that was replaced or removed. */
  forget(name: string): void {
    clearTimeout(this.#heldByName.get(name)?.timer);
    this.#heldByName.delete(name);
  }

  /** Discards the held entries of other names. */
  retain(names: ReadonlySet<string>): void {
    for (const name of [...this.#heldByName.keys()]) {
      if (!names.has(name)) this.forget(name);
    }
  }

  #release(name: string): void {
    const { entry } = this.#heldByName.get(name)!;
    this.#heldByName.delete(name);
    this.#accept(entry);
  }
}
