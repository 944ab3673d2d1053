/**
 * How long a suspicion lasts before the member is removed.
 *
 * @module
 */
import type { ProbeSettings } from "./membership_settings.ts";

interface Suspicion {
  readonly startedAt: number;
  readonly sharedBy: Set<string>;
  readonly shortestMs: number;
  readonly longestMs: number;
  readonly needed: number;
}

/**
 * Suspicions that run at this process.
 *
 * A suspicion starts long and is cut short as other members come to share it:
 * a process that is itself slow or half cut off suspects many, but alone, so
 * those it suspects have time to contradict; of a member that is gone, several
 * are sure within a few periods.
 */
export class Suspicions {
  readonly #settings: ProbeSettings;
  readonly #running = new Map<string, Suspicion>();
  #extensionMs = 0;

  constructor(settings: ProbeSettings) {
    this.#settings = settings;
  }

  /**
   * Starts a suspicion, or adds one more member that shares it.
   *
   * @returns whether this shortens the suspicion of others too, so that they
   * should hear of it.
   */
  add(
    name: string,
    by: string,
    at: { readonly now: number; readonly members: number },
  ): boolean {
    const running = this.#running.get(name);
    if (running !== undefined) {
      const { sharedBy, needed } = running;
      if (sharedBy.has(by) || sharedBy.size > needed) return false;
      sharedBy.add(by);
      return true;
    }
    const settings = this.#settings;
    const scale = Math.max(1, Math.log10(at.members));
    const shortestMs = settings.suspicionPeriods * settings.periodMs * scale;
    // Neither the suspect nor this process nor a fellow of the smallest fleets
    // can be counted on to share it.
    const sharers = Math.max(0, at.members - 3);
    this.#running.set(name, {
      startedAt: at.now - this.#extensionMs,
      sharedBy: new Set([by]),
      shortestMs,
      longestMs: shortestMs * settings.suspicionStretch,
      needed: Math.min(settings.suspicionConfirmations, sharers),
    });
    return true;
  }

  /** Ends a suspicion. */
  clear(name: string): void {
    this.#running.delete(name);
  }

  /** Gives all running suspicions more time. */
  extend(ms: number): void {
    this.#extensionMs += ms;
  }

  /** Names whose suspicion has run out. */
  expired(now: number): readonly string[] {
    const names: string[] = [];
    for (const [name, suspicion] of this.#running) {
      const elapsedMs = now - suspicion.startedAt - this.#extensionMs;
      if (elapsedMs >= durationOf(suspicion)) names.push(name);
    }
    return names;
  }
}

function durationOf(suspicion: Suspicion): number {
  const { shortestMs, longestMs, needed, sharedBy } = suspicion;
  if (needed === 0) return shortestMs;
  const others = sharedBy.size - 1;
  const shared = Math.log(others + 1) / Math.log(needed + 1);
  return Math.max(shortestMs, longestMs - (longestMs - shortestMs) * shared);
}
