/**
 * Suspicions of members and the time until they expire.
 *
 * @module
 */
import type { ProbeSettings } from "./membership_settings.ts";

interface Suspicion {
  readonly startedAt: number;
  readonly confirmedBy: Set<string>;
  readonly minMs: number;
  readonly maxMs: number;
  readonly required: number;
}

/**
 * The active suspicions at this process.
 *
 * A suspicion starts with a long time-out, which shrinks as other members
 * confirm it. A process that is itself slow or partly cut off suspects many
 * members, but without confirmations, so these have time to refute it. A member
 * that has failed is suspected by several others within a few periods.
 */
export class Suspicions {
  readonly #settings: ProbeSettings;
  readonly #active = new Map<string, Suspicion>();
  #extensionMs = 0;

  constructor(settings: ProbeSettings) {
    this.#settings = settings;
  }

  /**
   * Starts a suspicion, or adds a confirmation by another member.
   *
   * @returns whether the confirmation is new and shortens the suspicion at
   * other members too, so that it should be gossiped.
   */
  add(
    name: string,
    by: string,
    at: { readonly now: number; readonly members: number },
  ): boolean {
    const active = this.#active.get(name);
    if (active !== undefined) {
      const { confirmedBy, required } = active;
      if (confirmedBy.has(by) || confirmedBy.size > required) return false;
      confirmedBy.add(by);
      return true;
    }
    const settings = this.#settings;
    const scale = Math.max(1, Math.log10(at.members));
    const minMs = settings.suspicionPeriods * settings.periodMs * scale;
    // The suspect and this process cannot confirm it, and in the smallest
    // fleets a further member cannot be relied on to do so.
    const confirmers = Math.max(0, at.members - 3);
    this.#active.set(name, {
      startedAt: at.now - this.#extensionMs,
      confirmedBy: new Set([by]),
      minMs,
      maxMs: minMs * settings.suspicionStretch,
      required: Math.min(settings.suspicionConfirmations, confirmers),
    });
    return true;
  }

  /** Ends a suspicion. */
  clear(name: string): void {
    this.#active.delete(name);
  }

  /** Extends all active suspicions. */
  extend(ms: number): void {
    this.#extensionMs += ms;
  }

  /** Names of the members whose suspicion has expired. */
  expired(now: number): readonly string[] {
    const names: string[] = [];
    for (const [name, suspicion] of this.#active) {
      const elapsedMs = now - suspicion.startedAt - this.#extensionMs;
      if (elapsedMs >= durationOf(suspicion)) names.push(name);
    }
    return names;
  }
}

function durationOf(suspicion: Suspicion): number {
  const { minMs, maxMs, required, confirmedBy } = suspicion;
  if (required === 0) return minMs;
  const confirmations = confirmedBy.size - 1;
  const progress = Math.log(confirmations + 1) / Math.log(required + 1);
  return Math.max(minMs, maxMs - (maxMs - minMs) * progress);
}
